//! Rows of daemons in the table service, by which others find them.
//!
//! Some daemons of each data centre keep a row; whoever starts and knows nobody
//! reads these and learns of all others from their neighbours. A daemon that
//! nobody answers keeps one too.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::store_role::{until_not_using_store, until_using_store};
use crate::policy::member::{Budget, Member, MemberState, StoreRole, View};
use crate::store::{Condition, Revision, Row, WriteOutcome, write_with_retry};
use crate::tables::Shared;

/// What the names of the rows begin with; the address follows.
const KEY_PREFIX: &str = "member/";
/// Pause between two looks whether the platform may be asked again.
const BUDGET_POLL: Duration = Duration::from_millis(200);
/// Rounds of requests a second and at once that one daemon may make.
const ROUNDS_PER_S: f64 = 2.0;
const ROUND_BURST: f64 = 2.0;
/// Most that failures in a row make the next round wait, so that daemons that
/// started while the platform was away are found soon after its return.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How long those named by rows have to answer before a daemon that found them
/// writes a row of its own.
const MEMBER_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the rows are read again, so that parts of an estate that started
/// apart find each other, and rows of daemons that are gone are removed.
const REREAD_INTERVAL: Duration = Duration::from_secs(60);

/// How long a row stays after its daemon has left the store to others; in a start
/// of all a daemon may use it for itself and, a moment later, for its data centre.
const ROW_LINGER: Duration = Duration::from_secs(10);

fn row_key(shared: &Shared) -> String {
    format!("{KEY_PREFIX}{}", shared.instance.address)
}

/// Keeps the own row and reads those of others while this daemon uses the store,
/// for ever; again when the store has gone back.
///
/// A row is written before the others are read. So of two daemons that keep one,
/// the one that writes later reads that of the other, and what their neighbours
/// know comes together.
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

/// Reads the rows until the platform answers; returns whether there are others.
async fn find_others(shared: &Shared, budget: &mut Budget) -> bool {
    run_until_answered(shared, budget, Round::Read).await;
    shared.view.lock().members().len() > 1
}

/// What is asked of the platform in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// The rows of others are read.
    Read,
    /// The own row is written before that.
    Write,
}

impl Round {
    /// Returns whether the platform answered all of it.
    async fn run(self, shared: &Shared) -> bool {
        let own = shared.view.lock().own().clone();
        let written = self == Self::Read || write_row(shared, &own).await;
        // Reading also goes on while the row cannot be written.
        read_rows(shared).await && written
    }
}

/// Repeats a round of requests until it succeeds, or until this daemon leaves the
/// store to others.
async fn run_until_answered(shared: &Shared, budget: &mut Budget, round: Round) {
    while shared.store_role.borrow().uses_store() {
        if !budget.try_take(Instant::now()) {
            tokio::time::sleep(BUDGET_POLL).await;
            continue;
        }
        if round.run(shared).await {
            budget.record_answer();
            return;
        }
        budget.record_failure(Instant::now(), &mut rand::rng());
    }
}

/// Removes the row of a daemon that leaves the store to others for good.
async fn remove_row_later(shared: &Shared) {
    if tokio::time::timeout(ROW_LINGER, until_using_store(shared))
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
        spdlog::warn!("own row not removed", kv: { cause = e.to_string().as_str() });
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
            spdlog::warn!("members not read", kv: { cause = e.to_string().as_str() });
            false
        }
    }
}

/// Writes the row, unless it stands; returns whether it does.
async fn write_row(shared: &Shared, own: &Member) -> bool {
    if shared.member_row.lock().is_some() {
        return true;
    }
    let key = row_key(shared);
    let content: bytes::Bytes = serde_json::to_vec(own).unwrap_or_default().into();
    let table = shared.platform.as_ref();
    let mut condition = Condition::Absent;
    // A row that an earlier run at this address left is written over.
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
                Err(e) => spdlog::warn!("row of a member not understood", kv: {
                    key = &*row.key, cause = e.to_string().as_str()
                }),
            }
        }
    }
    if changed {
        shared.members_changed();
    }
}

/// Removes the rows of daemons that are gone. The first daemon of a data centre
/// does, for all.
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
            // Whoever reads the rows next tries again.
            spdlog::debug!("row of a member not removed", kv: {
                key = &*key, cause = e.to_string().as_str()
            });
        }
    }
}

/// Tells whether a row is of this data centre and its daemon is known to be gone.
fn is_stale(view: &View, row: &Row) -> bool {
    let Ok(member) = serde_json::from_slice::<Member>(&row.content) else {
        return false;
    };
    let is_gone = |known: &Member| known.state >= MemberState::Silent;
    member.centre == view.own().centre && view.at(member.instance.address).is_some_and(is_gone)
}
