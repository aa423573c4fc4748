//! Following the changes of one row of the store.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::policy::member::Budget;
use crate::store::{Feed, FeedError, Revision, Row};

/// Queries for a row by one daemon, per second and per burst.
const QUERIES_PER_S: f64 = 4.0;
const QUERY_BURST: f64 = 8.0;
/// How long to wait before trying the budget again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often to check whether the store may be queried again.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum delay of the next query after failures.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time over which daemons spread their reads of the whole row, when all of them
/// have to read it at once.
const REREAD_JITTER: Duration = Duration::from_millis(300);

/// A row to follow.
#[derive(Clone, Copy, Debug)]
pub struct FollowedRow {
    /// The key of the row.
    pub key: &'static str,
    /// The table of the row.
    pub table: &'static str,
}

/// Passes each state of a row to `apply` as soon as the store reports it, forever.
/// States that follow each other quickly may be skipped.
///
/// The store isn't queried while `may_query` returns false; the whole row is read
/// after that. `wait` returns how long a query for changes may stay open, and is told
/// whether it is the first one after a change.
pub async fn follow_row(
    feed: &dyn Feed,
    followed: &FollowedRow,
    mut may_query: impl FnMut() -> bool,
    wait: impl Fn(bool) -> Duration,
    mut apply: impl FnMut(&Row),
) {
    let mut budget =
        Budget::with_max_backoff(Instant::now(), QUERIES_PER_S, QUERY_BURST, MAX_BACKOFF);
    let mut known: Option<Revision> = None;
    let mut lost = false;
    let mut is_first = true;
    let mut restored = feed.restores();
    let mut restores = *restored.borrow_and_update();
    loop {
        if !may_query() {
            known = None;
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        if !budget.try_take(Instant::now()) {
            tokio::time::sleep(BUDGET_POLL_INTERVAL).await;
            continue;
        }
        let before = known;
        let failed = match known {
            None => {
                is_first = true;
                read_row(feed, followed, &mut known, &mut apply).await
            }
            // A store restored from a copy may give out the same positions in the
            // feed again, and would skip the changes before this one.
            Some(after) => {
                let query = FeedQuery {
                    after,
                    wait: wait(is_first),
                };
                tokio::select! {
                    read = read_changes(feed, followed, query, &mut known, &mut apply) => {
                        is_first = read != Ok(false);
                        read.err()
                    }
                    Ok(()) = restored.changed() => None,
                }
            }
        };
        let now = *restored.borrow_and_update();
        if now != restores {
            restores = now;
            known = None;
        }
        if before.is_some() && known.is_none() {
            let pause = REREAD_JITTER.mul_f64(rand::rng().random());
            tokio::time::sleep(pause).await;
        }
        match failed {
            None => {
                if lost {
                    spdlog::info!("feed available again", kv: { row = followed.key });
                }
                lost = false;
                budget.record_answer();
            }
            Some(cause) => {
                if !lost {
                    spdlog::warn!("feed unavailable", kv: { row = followed.key, cause = &*cause });
                }
                lost = true;
                budget.record_failure(Instant::now(), &mut rand::rng());
            }
        }
    }
}

/// Reads the row; returns the cause if that fails.
async fn read_row(
    feed: &dyn Feed,
    followed: &FollowedRow,
    known: &mut Option<Revision>,
    apply: &mut impl FnMut(&Row),
) -> Option<Box<str>> {
    match feed.read(followed.key).await {
        Ok(Some(row)) => {
            *known = Some(row.revision);
            apply(&row);
            None
        }
        Ok(None) => {
            *known = Some(Revision::default());
            None
        }
        Err(e) => Some(e.0),
    }
}

/// A query for the changes of the table.
#[derive(Clone, Copy, Debug)]
struct FeedQuery {
    after: Revision,
    wait: Duration,
}

/// Queries the changes; returns whether there were any.
///
/// # Errors
///
/// Returns the cause if the platform doesn't answer.
async fn read_changes(
    feed: &dyn Feed,
    followed: &FollowedRow,
    FeedQuery { after, wait }: FeedQuery,
    known: &mut Option<Revision>,
    apply: &mut impl FnMut(&Row),
) -> Result<bool, Box<str>> {
    match feed.changes(followed.table, after, wait).await {
        Ok(changes) => {
            for change in &changes.changes {
                if *change.key == *followed.key
                    && let Some(row) = &change.row
                {
                    apply(row);
                }
            }
            *known = Some(changes.revision.max(after));
            Ok(!changes.changes.is_empty())
        }
        Err(FeedError::HistoryExpired) => {
            *known = None;
            Ok(true)
        }
        Err(FeedError::Failed(cause)) => {
            // Changes may have been missed, so the whole row is read again.
            *known = None;
            Err(cause)
        }
    }
}
