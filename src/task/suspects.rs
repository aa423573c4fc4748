//! Rows of quarantined requests in the platform's store.
//!
//! Daemons share suspects by gossip and keep nothing on disk. If all of them are
//! lost at once, these rows let the estate recognise a quarantined request, which
//! it would otherwise learn only by three more server crashes. That takes one read
//! by each daemon that uses the store, and at most three writes a request.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::store_role::until_using_store;
use crate::model::CrashId;
use crate::policy::crash::{CrashRecord, Suspect};
use crate::policy::member::Budget;
use crate::store::{Condition, Row, WriteOutcome, write_with_retry};
use crate::tables::{Shared, unix_ms};

/// Prefix of the keys of the rows; the digest of the request follows.
const KEY_PREFIX: &str = "suspect/";
/// How long to wait before trying the budget again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Requests by one daemon, per second and per burst.
const REQUESTS_PER_S: f64 = 1.0;
const REQUEST_BURST: f64 = 4.0;
/// Maximum delay of the next request after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The content of a row.
#[derive(Debug, Serialize, Deserialize)]
struct Content {
    #[serde(rename = "strikes")]
    crashes: Vec<CrashRow>,
    /// The time of the last crash by the system clock.
    unix_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct CrashRow {
    crash: u64,
    caller: u64,
}

impl Content {
    fn new(suspect: &Suspect, now: Instant) -> Self {
        let age = now.saturating_duration_since(suspect.last_crash);
        let row = |record: &CrashRecord| CrashRow {
            crash: record.crash.get(),
            caller: record.caller,
        };
        Self {
            crashes: suspect.records.iter().map(row).collect(),
            unix_ms: unix_ms().saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    fn suspect(&self, request: u128, now: Instant) -> Suspect {
        let age = Duration::from_millis(unix_ms().saturating_sub(self.unix_ms));
        let record = |row: &CrashRow| CrashRecord {
            crash: CrashId::new(row.crash),
            caller: row.caller,
        };
        Suspect {
            digest: request,
            records: self.crashes.iter().map(record).collect(),
            answered_callers: BTreeSet::new(),
            last_crash: now.checked_sub(age).unwrap_or(now),
        }
    }
}

/// Writes rows of the requests quarantined for crashes of this VM's server,
/// forever, and again after the store was restored from a copy. Reads the rows of
/// all quarantined requests once, when this daemon begins to use the store.
pub async fn keep_suspect_rows(shared: Arc<Shared>) {
    let mut budget =
        Budget::with_max_backoff(Instant::now(), REQUESTS_PER_S, REQUEST_BURST, MAX_BACKOFF);
    let mut read = false;
    let mut restored = shared.platform.restores();
    loop {
        tokio::select! {
            () = shared.quarantine_notify.notified() => {}
            _ = until_using_store(&shared), if !read => {}
            Ok(()) = restored.changed() => {
                let all = shared.store_role.borrow().uses_store();
                shared.suspects.save_again(all);
            }
        }
        if !read && shared.store_role.borrow().uses_store() {
            if !budget.try_take(Instant::now()) {
                tokio::time::sleep(BUDGET_POLL_INTERVAL).await;
                continue;
            }
            read = read_rows(&shared).await;
            record_outcome(&mut budget, read);
        }
        write_rows(&shared, &mut budget).await;
    }
}

fn record_outcome(budget: &mut Budget, answered: bool) {
    if answered {
        budget.record_answer();
    } else {
        budget.record_failure(Instant::now(), &mut rand::rng());
    }
}

/// Reads all rows and removes the expired ones; returns whether the platform
/// answered.
async fn read_rows(shared: &Shared) -> bool {
    let rows = match shared.platform.scan(KEY_PREFIX).await {
        Ok(rows) => rows,
        Err(e) => {
            spdlog::warn!("cannot read rows of quarantined requests", kv: { cause = e.to_string().as_str() });
            return false;
        }
    };
    let now = Instant::now();
    let mut known = Vec::new();
    for row in &rows {
        match suspect_of(row, now) {
            Some(suspect) if suspect.is_expired(now) => remove(shared, row).await,
            Some(suspect) => known.push(suspect),
            None => spdlog::warn!("invalid row of a quarantined request", kv: { key = &*row.key }),
        }
    }
    shared.merge_suspects(&known);
    true
}

fn suspect_of(row: &Row, now: Instant) -> Option<Suspect> {
    let request = u128::from_str_radix(row.key.strip_prefix(KEY_PREFIX)?, 16).ok()?;
    let content: Content = serde_json::from_slice(&row.content).ok()?;
    Some(content.suspect(request, now))
}

async fn remove(shared: &Shared, row: &Row) {
    if let Err(e) = shared.platform.delete(&row.key, row.revision).await {
        // The next daemon that reads the rows tries again.
        spdlog::debug!("cannot remove expired row of a quarantined request", kv: {
            key = &*row.key, cause = e.to_string().as_str()
        });
    }
}

/// Writes the row of each queued request.
async fn write_rows(shared: &Shared, budget: &mut Budget) {
    while let Some(suspect) = shared.suspects.take_unsaved() {
        while !budget.try_take(Instant::now()) {
            tokio::time::sleep(BUDGET_POLL_INTERVAL).await;
        }
        let written = write_row(shared, &suspect).await;
        record_outcome(budget, written);
        if !written && !suspect.is_expired(Instant::now()) {
            shared.suspects.return_unsaved(suspect);
        }
    }
}

/// Writes one row; returns whether it is in the store. A row written by another
/// daemon is enough.
async fn write_row(shared: &Shared, suspect: &Suspect) -> bool {
    let key = format!("{KEY_PREFIX}{:032x}", suspect.digest);
    let content = Content::new(suspect, Instant::now());
    let content = serde_json::to_vec(&content).unwrap_or_default();
    let table = shared.platform.as_ref();
    let (outcome, stands) =
        match write_with_retry(table, &key, Condition::Absent, content.into()).await {
            WriteOutcome::Written(_) => ("written", true),
            WriteOutcome::Conflict(_) => ("there already", true),
            WriteOutcome::NotSent(_) => ("not sent", false),
            WriteOutcome::Unknown(_) => ("not known", false),
        };
    spdlog::info!("row of a quarantined request", kv: { key = key.as_str(), outcome });
    stands
}
