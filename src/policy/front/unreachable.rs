//! Services none of whose servers can be reached.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::model::{Demand, Level, RankSet};
use crate::policy::route::{Table, TargetState};

/// What a service demands that cannot be reached: it sheds all classes.
///
/// It is told up the chain like that of a service with too much work, and ages
/// like it, so the front refuses trees that would fail and lets some through
/// again a few times a second, the most important first.
pub const UNREACHABLE_DEMAND: Demand = Demand {
    level: Level::HIGHEST,
    below: Level::OPEN,
    classes: RankSet::from_bits(0),
};

/// Tells whether a call that could not reach a server had none left to try:
/// each that serves was asked for it or is left out for its failures.
pub fn is_unreachable(now: Instant, table: &Table, tried: &[SocketAddr]) -> bool {
    let mut serving = table
        .targets()
        .filter(|target| target.state == TargetState::Serving);
    serving.all(|target| {
        tried.contains(&target.instance.address) || !table.admits(now, target.instance)
    })
}
