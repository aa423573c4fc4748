//! How long queries for changes stay open at the store.

use std::time::Duration;

/// Time between the ends of two queries of an estate at most. A query whose answer was
/// lost looks like one without changes until then, and versions must be in force five
/// seconds after the store works again.
const MAX_INTERVAL: Duration = Duration::from_millis(2500);
/// How long one query may stay open.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Returns how long a query may stay open, by the index of this daemon among the delegates
/// and their number, if it is one.
///
/// All delegates send the first query after a change at the same moment. Those of the first
/// ones are shorter, so that they end in turn: one of them soon finds that answers were
/// lost, reads the row and tells the others what changes.
pub fn feed_wait(position: Option<(usize, usize)>, is_first: bool) -> Duration {
    let Some((index, count)) = position else {
        return MAX_INTERVAL;
    };
    let turns = if is_first { index + 1 } else { count };
    MAX_WAIT.min(MAX_INTERVAL * u32::try_from(turns).unwrap_or(u32::MAX))
}
