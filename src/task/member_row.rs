//! Member rows in the platform's store, by which daemons find each other.
//!
//! The delegates of each data centre keep a row. A daemon that starts without
//! known neighbours reads these rows and learns of all others by gossip. An
//! isolated daemon keeps a row too.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::store_role::{until_not_using_store, until_using_store};
use crate::policy::member::{Budget, Member, MemberState, StoreRole, View};
use crate::store::{Condition, Revision, Row, WriteOutcome, write_with_retry};
use crate::tables::Shared;

/// Prefix of the keys of the rows; the address of the daemon follows.
const KEY_PREFIX: &str = "member/";
/// How long to wait before trying the budget again.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of requests by one daemon, per second and per burst.
const ROUNDS_PER_S: f64 = 2.0;
const ROUND_BURST: f64 = 2.0;
/// Maximum delay of the next round after failures, so that daemons that started
/// during an outage of the platform are found soon after it.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long the daemons found in rows have to answer before this daemon writes a
/// row of its own.
const MEMBER_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the rows are read again, so that parts of an estate that started
/// separately find each other, and stale rows are removed.
const REREAD_INTERVAL: Duration = Duration::from_secs(60);

/// How long a row stays after its daemon stopped using the store. When an estate
/// starts, a daemon may be isolated first and a delegate a moment later.
const ROW_LINGER_TIME: Duration = Duration::from_secs(10);

fn row_key(shared: &Shared) -> String {
    format!("{KEY_PREFIX}{}", shared.instance.address)
}

/// Keeps this daemon's row and reads those of others while it uses the store,
/// forever. The row is written again after the store was restored from a copy.
///
/// A row is written before the others are read. Of two daemons that write one,
/// the later therefore finds the earlier, and their parts of the estate join.
pub async fn keep_member_row(shared: Arc<Shared>) {
    let mut budget =
        Budget::with_max_backoff(Instant::now(), ROUNDS_PER_S, ROUND_BURST, MAX_BACKOFF);
    let mut restored = shared.platform.restores();
    loop {
        let role = until_using_store(&shared).await;
        if shared.view.lock().own().state == MemberState::Left {
            return;
        }
        if restored.has_changed().unwrap_or_default() {
            restored.mark_unchanged();
            *shared.member_row.lock() = None;
        }
        if role == StoreRole::Isolated
            && shared.member_row.lock().is_none()
            && find_others(&shared, &mut budget).await
        {
            let answered =
                tokio::time::timeout(MEMBER_ANSWER_TIMEOUT, until_not_using_store(&shared)).await;
            if answered.is_ok() {
                continue;
            }
        }
        run_until_answered(&shared, &mut budget, Round::Write).await;
        let pause = tokio::time::sleep(REREAD_INTERVAL);
        tokio::select! {
            () = pause => {}
            Ok(()) = restored.changed() => restored.mark_changed(),
            () = until_not_using_store(&shared) => remove_row_later(&shared).await,
        }
    }
}

/// Reads the rows until the platform answers; returns whether there are other
/// members.
async fn find_others(shared: &Shared, budget: &mut Budget) -> bool {
    run_until_answered(shared, budget, Round::Read).await;
    shared.view.lock().members().len() > 1
}

/// The requests to the platform in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// Reads the rows of others.
    Read,
    /// Writes the own row, then reads those of others.
    Write,
}

impl Round {
    /// Runs the requests; returns whether all of them succeeded.
    async fn run(self, shared: &Shared) -> bool {
        let own = shared.view.lock().own().clone();
        let written = self == Self::Read || write_row(shared, &own).await;
        // Rows are read even if the own row can't be written.
        read_rows(shared).await && written
    }
}

/// Repeats a round of requests until it succeeds, or until this daemon no longer
/// uses the store.
async fn run_until_answered(shared: &Shared, budget: &mut Budget, round: Round) {
    while shared.store_role.borrow().uses_store() {
        if !budget.try_take(Instant::now()) {
            tokio::time::sleep(BUDGET_POLL_INTERVAL).await;
            continue;
        }
        if round.run(shared).await {
            budget.record_answer();
            return;
        }
        budget.record_failure(Instant::now(), &mut rand::rng());
    }
}

/// Removes the row, unless this daemon soon uses the store again.
async fn remove_row_later(shared: &Shared) {
    if tokio::time::timeout(ROW_LINGER_TIME, until_using_store(shared))
        .await
        .is_err()
    {
        remove_row(shared).await;
    }
}

/// Removes the row, if it was written.
pub(super) async fn remove_row(shared: &Shared) {
    let Some(revision) = shared.member_row.lock().take() else {
        return;
    };
    if let Err(e) = shared.platform.delete(&row_key(shared), revision).await {
        spdlog::warn!("cannot remove own member row", kv: { cause = e.to_string().as_str() });
    }
}

/// Reads the rows of other daemons; returns whether the platform answered.
async fn read_rows(shared: &Shared) -> bool {
    match shared.platform.scan(KEY_PREFIX).await {
        Ok(rows) => {
            merge_rows(shared, &rows);
            shared.readiness.set_members_known();
            remove_stale(shared, &rows).await;
            true
        }
        Err(e) => {
            spdlog::warn!("cannot read member rows", kv: { cause = e.to_string().as_str() });
            false
        }
    }
}

/// Writes the row unless it was written before; returns whether it is in the store.
async fn write_row(shared: &Shared, own: &Member) -> bool {
    if shared.member_row.lock().is_some() {
        return true;
    }
    let key = row_key(shared);
    let content: bytes::Bytes = serde_json::to_vec(own).unwrap_or_default().into();
    let table = shared.platform.as_ref();
    let mut condition = Condition::Absent;
    // A row left by an earlier run at this address is overwritten.
    for _ in 0..2 {
        match write_with_retry(table, &key, condition, content.clone()).await {
            WriteOutcome::Written(revision) => {
                *shared.member_row.lock() = Some(revision);
                return true;
            }
            WriteOutcome::Conflict(Some(found)) => condition = Condition::Revision(found.revision),
            WriteOutcome::Conflict(None) => condition = Condition::Absent,
            WriteOutcome::NotSent(_) | WriteOutcome::Unknown(_) => return false,
        }
    }
    false
}

fn merge_rows(shared: &Shared, rows: &[Row]) {
    let now = Instant::now();
    let mut changed = false;
    {
        let mut view = shared.view.lock();
        for row in rows {
            match serde_json::from_slice::<Member>(&row.content) {
                Ok(member) => changed |= view.merge(now, member),
                Err(e) => spdlog::warn!("invalid member row", kv: {
                    key = &*row.key, cause = e.to_string().as_str()
                }),
            }
        }
    }
    if changed {
        shared.members_changed();
    }
}

/// Removes the rows of daemons that are gone. Only the first running daemon of a
/// data centre does so.
async fn remove_stale(shared: &Shared, rows: &[Row]) {
    let stale: Vec<(Box<str>, Revision)> = {
        let view = shared.view.lock();
        let own = view.own();
        if view.running().members(&own.centre).next() != Some(own.instance) {
            return;
        }
        let stale = rows.iter().filter(|row| is_stale(&view, row));
        stale.map(|row| (row.key.clone(), row.revision)).collect()
    };
    for (key, revision) in stale {
        if let Err(e) = shared.platform.delete(&key, revision).await {
            // The next reader of the rows tries again.
            spdlog::debug!("cannot remove stale member row", kv: {
                key = &*key, cause = e.to_string().as_str()
            });
        }
    }
}

/// Returns whether a row is of this data centre and its daemon is known to be gone.
fn is_stale(view: &View, row: &Row) -> bool {
    let Ok(member) = serde_json::from_slice::<Member>(&row.content) else {
        return false;
    };
    let is_gone = |known: &Member| known.state >= MemberState::Silent;
    member.centre == view.own().centre && view.at(member.instance.address).is_some_and(is_gone)
}
