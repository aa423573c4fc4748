//! Following of one row of the store.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::policy::member::Budget;
use crate::store::{Feed, FeedError, Revision, Row};

/// Questions a second and at once that one daemon may ask for a row.
const RATE: f64 = 4.0;
const BURST: f64 = 8.0;
/// Pause before leave for another question is looked for.
const PAUSE: Duration = Duration::from_millis(100);
/// Pause before it is looked again whether the store is to be asked.
const IDLE: Duration = Duration::from_millis(250);
/// Most that failures in a row make the next question wait.
const MAX_BACK_OFF: Duration = Duration::from_millis(800);

/// Time over which daemons spread their reading of the whole row, where all of
/// them must at once.
const SPREAD: Duration = Duration::from_millis(300);

/// A row that is followed.
#[derive(Clone, Copy, Debug)]
pub struct Followed {
    /// The row.
    pub row: &'static str,
    /// Its table.
    pub table: &'static str,
    /// How long one question for changes may stay open.
    pub wait: Duration,
}

/// Gives each state of a row to `take`, as soon as the store tells of it, for
/// ever. States that follow each other quickly may be passed over.
///
/// While `asks` says that the store is not to be asked, nothing is; the row is
/// read as a whole after that.
pub async fn follow(
    feed: &dyn Feed,
    followed: &Followed,
    mut asks: impl FnMut() -> bool,
    mut take: impl FnMut(&Row),
) {
    let mut budget = Budget::with_max_backoff(Instant::now(), RATE, BURST, MAX_BACK_OFF);
    let mut known: Option<Revision> = None;
    let mut lost = false;
    let mut back = feed.went_back();
    let mut times = *back.borrow_and_update();
    loop {
        if !asks() {
            known = None;
            tokio::time::sleep(IDLE).await;
            continue;
        }
        if !budget.try_take(Instant::now()) {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        let before = known;
        let failed = match known {
            None => first(feed, followed, &mut known, &mut take).await,
            // A store that went back may not know that it gave the place in the
            // feed out twice, and would pass over what lies before it.
            Some(after) => tokio::select! {
                failed = next(feed, followed, after, &mut known, &mut take) => failed,
                Ok(()) = back.changed() => None,
            },
        };
        let now = *back.borrow_and_update();
        if now != times {
            times = now;
            known = None;
        }
        if before.is_some() && known.is_none() {
            let pause = SPREAD.mul_f64(rand::rng().random());
            tokio::time::sleep(pause).await;
        }
        match failed {
            None => {
                if lost {
                    spdlog::info!("feed regained", kv: { row = followed.row });
                }
                lost = false;
                budget.record_answer();
            }
            Some(cause) => {
                if !lost {
                    spdlog::warn!("feed lost", kv: { row = followed.row, cause = &*cause });
                }
                lost = true;
                budget.record_failure(Instant::now(), &mut rand::rng());
            }
        }
    }
}

/// Reads the row; returns why that failed, if it did.
async fn first(
    feed: &dyn Feed,
    followed: &Followed,
    known: &mut Option<Revision>,
    take: &mut impl FnMut(&Row),
) -> Option<Box<str>> {
    match feed.read(followed.row).await {
        Ok(Some(row)) => {
            *known = Some(row.revision);
            take(&row);
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
async fn next(
    feed: &dyn Feed,
    followed: &Followed,
    after: Revision,
    known: &mut Option<Revision>,
    take: &mut impl FnMut(&Row),
) -> Option<Box<str>> {
    match feed.changes(followed.table, after, followed.wait).await {
        Ok(changes) => {
            for change in &changes.changes {
                if *change.key == *followed.row
                    && let Some(row) = &change.row
                {
                    take(row);
                }
            }
            *known = Some(changes.at.max(after));
            None
        }
        Err(FeedError::Forgotten) => {
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
