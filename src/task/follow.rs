//! Following of one row of the store.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::policy::member::Budget;
use crate::store::{Feed, FeedError, Revision, Row};

/// Questions a second and at once that one daemon may ask for a row.
const QUERIES_PER_S: f64 = 4.0;
const QUERY_BURST: f64 = 8.0;
/// Pause before leave for another question is looked for.
const BUDGET_POLL: Duration = Duration::from_millis(100);
/// Pause before it is looked again whether the store is to be asked.
const IDLE_POLL: Duration = Duration::from_millis(250);
/// Most that failures in a row make the next question wait.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time over which daemons spread their reading of the whole row, where all of
/// them must at once.
const REREAD_JITTER: Duration = Duration::from_millis(300);

/// A row that is followed.
#[derive(Clone, Copy, Debug)]
pub struct FollowedRow {
    /// The row.
    pub key: &'static str,
    /// Its table.
    pub table: &'static str,
    /// How long one question for changes may stay open.
    pub wait: Duration,
}

/// Gives each state of a row to `take`, as soon as the store tells of it, for
/// ever. States that follow each other quickly may be passed over.
///
/// while `may_query` says that the store is not to be asked, nothing is; the row is
/// read as a whole after that.
pub async fn follow_row(
    feed: &dyn Feed,
    followed: &FollowedRow,
    mut may_query: impl FnMut() -> bool,
    mut apply: impl FnMut(&Row),
) {
    let mut budget =
        Budget::with_max_backoff(Instant::now(), QUERIES_PER_S, QUERY_BURST, MAX_BACKOFF);
    let mut known: Option<Revision> = None;
    let mut lost = false;
    let mut restored = feed.restores();
    let mut restores = *restored.borrow_and_update();
    loop {
        if !may_query() {
            known = None;
            tokio::time::sleep(IDLE_POLL).await;
            continue;
        }
        if !budget.try_take(Instant::now()) {
            tokio::time::sleep(BUDGET_POLL).await;
            continue;
        }
        let before = known;
        let failed = match known {
            None => read_row(feed, followed, &mut known, &mut apply).await,
            // A store that went back may not know that it gave the place in the
            // feed out twice, and would pass over what lies before it.
            Some(after) => tokio::select! {
                failed = read_changes(feed, followed, after, &mut known, &mut apply) => failed,
                Ok(()) = restored.changed() => None,
            },
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
                    spdlog::info!("feed regained", kv: { row = followed.key });
                }
                lost = false;
                budget.record_answer();
            }
            Some(cause) => {
                if !lost {
                    spdlog::warn!("feed lost", kv: { row = followed.key, cause = &*cause });
                }
                lost = true;
                budget.record_failure(Instant::now(), &mut rand::rng());
            }
        }
    }
}

/// Reads the row; returns why that failed, if it did.
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

/// Asks for changes; returns why that failed, if it did.
async fn read_changes(
    feed: &dyn Feed,
    followed: &FollowedRow,
    after: Revision,
    known: &mut Option<Revision>,
    apply: &mut impl FnMut(&Row),
) -> Option<Box<str>> {
    match feed.changes(followed.table, after, followed.wait).await {
        Ok(changes) => {
            for change in &changes.changes {
                if *change.key == *followed.key
                    && let Some(row) = &change.row
                {
                    apply(row);
                }
            }
            *known = Some(changes.revision.max(after));
            None
        }
        Err(FeedError::HistoryExpired) => {
            *known = None;
            None
        }
        Err(FeedError::Failed(cause)) => {
            // What came meanwhile is read as a whole.
            *known = None;
            Some(cause)
        }
    }
}
