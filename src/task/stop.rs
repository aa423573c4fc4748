//! A planned stop: tell, drain, hand over, end.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::homes::row_key;
use super::lease::say_state;
use super::row::remove_row;
use crate::entry::Entry;
use crate::guard::Guard;
use crate::model::Instance;
use crate::peer::{Pool, exchange, hand_over};
use crate::policy::member::{MemberState, SyncPosition, neighbours};
use crate::policy::once::{Successor, hand_over as next_row};
use crate::store::{Condition, Settled, settle};
use crate::tables::Shared;

/// How long callers have to learn that this daemon leaves before its entry
/// refuses new calls.
const TOLD: Duration = Duration::from_millis(1500);
/// How long callers whose platform asks for readiness each second need until
/// they have all gone: two questions in a row, and the answers under way.
const CALLERS_LEAVE: Duration = Duration::from_millis(2300);
/// How often calls in flight are counted.
const LOOK: Duration = Duration::from_millis(20);
/// How long the platform may take for the last writes.
const LAST_WRITES: Duration = Duration::from_secs(3);

/// The same where a platform hosts the daemon: a hundred times what its store
/// usually takes.
const LAST_WRITES_HOSTED: Duration = Duration::from_millis(500);
/// Part of the grace in which calls may end where a platform hosts the daemon:
/// it ends the process by force at the end of the grace, and excuses calls that
/// are cut in its last sixth. The rest is for the last words.
const CALLS_PART: f64 = 5.0 / 6.0;
/// How long neighbours may take to hear the news of a stop; others hear it by
/// the regular exchange.
const TELL: Duration = Duration::from_millis(500);

/// The parts of a daemon that a stop concerns.
pub struct Stopping {
    /// The shared tables.
    pub shared: Arc<Shared>,
    /// The entry.
    pub entry: Arc<Entry>,
    /// The guard.
    pub guard: Arc<Guard>,
    /// Connections to others.
    pub pool: Arc<Pool>,
}

/// Stops a daemon as planned; returns whether no call was cut.
///
/// It ends when all calls have ended, or after the grace of the settings, or
/// when `hurry` is told. A hosted daemon ends before the grace is over.
pub async fn stop(parts: &Stopping, hurry: impl Future<Output = ()>) -> bool {
    let Stopping {
        shared,
        entry,
        guard,
        pool,
    } = parts;
    spdlog::info!("stopping");
    let limit = Instant::now() + time_for_calls(shared);
    shared.readiness.stop();
    if shared.config.hosting.is_some() {
        tokio::time::sleep(CALLERS_LEAVE).await;
    }
    guard.stop();
    say_state(shared, MemberState::Leaving);
    tell_neighbours(shared, pool).await;
    if shared.config.hosting.is_none() {
        tokio::time::sleep(TOLD).await;
    }
    entry.close();
    let drained = async {
        tokio::select! {
            drained = drain(entry, guard, shared, limit) => drained,
            () = hurry => false,
        }
    };
    let drained = if shared.config.hosting.is_some() {
        let (drained, ()) = tokio::join!(drained, remove_in_time(shared, LAST_WRITES_HOSTED));
        say_state(shared, MemberState::Left);
        tell_neighbours(shared, pool).await;
        drained
    } else {
        let drained = drained.await;
        last_words(parts).await;
        drained
    };
    spdlog::info!("stopped", kv: { drained = drained });
    drained
}

/// Returns how long calls under way may take to end.
fn time_for_calls(shared: &Shared) -> Duration {
    let grace = shared.config.grace.get();
    match shared.config.hosting {
        Some(_) => grace.mul_f64(CALLS_PART),
        None => grace,
    }
}

/// Hands over what this daemon owns and takes leave, after its calls ended.
async fn last_words(parts: &Stopping) {
    let Stopping {
        shared,
        guard,
        pool,
        ..
    } = parts;
    guard.once().stop();
    let last = tokio::time::timeout(LAST_WRITES, hand_over_home(shared, guard, pool)).await;
    spdlog::info!("ledger", kv: { handed_over = last.unwrap_or(false) });
    say_state(shared, MemberState::Left);
    let removed = remove_in_time(shared, LAST_WRITES);
    tokio::join!(removed, tell_neighbours(shared, pool));
}

/// Removes the own row, unless the platform takes longer than `longest`.
async fn remove_in_time(shared: &Shared, longest: Duration) {
    let removed = tokio::time::timeout(longest, remove_row(shared));
    if removed.await.is_err() {
        spdlog::warn!("own row not removed: no answer in time");
    }
}

async fn drain(entry: &Entry, guard: &Guard, shared: &Shared, limit: Instant) -> bool {
    while Instant::now() < limit {
        let (in_flight, waiting, _) = guard.gate().load();
        let guarded = in_flight + waiting + guard.once().in_flight();
        if entry.in_flight() == 0 && guarded == 0 && shared.calls.is_empty() {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    false
}

async fn tell_neighbours(shared: &Shared, pool: &Pool) {
    let neighbours = neighbours(&shared.view.lock());
    let told = neighbours
        .all()
        .map(|instance| exchange(shared, pool, instance.address, SyncPosition::default()));
    let told = futures_util::future::join_all(told);
    if tokio::time::timeout(TELL, told).await.is_err() {
        spdlog::debug!("a neighbour did not hear of the stop in time");
    }
}

/// Hands the ledger to another instance of the service, then gives it the
/// mint times that this instance owns.
async fn hand_over_home(shared: &Shared, guard: &Guard, pool: &Pool) -> bool {
    let (entries, forgotten) = guard.once().export();
    let service = &shared.config.service;
    let home = shared.homes.get(service);
    let owns = home.as_ref().is_some_and(|home| {
        let all = home.row.slots().iter().flatten();
        all.into_iter().any(|i| i.owner == shared.instance)
    });
    if entries.is_empty() && !owns {
        return true;
    }
    let Some(heir) = heir(shared) else {
        return false;
    };
    if !hand_over(shared, pool, heir, entries, forgotten).await {
        return false;
    }
    let Some(mut home) = home else {
        return true;
    };
    loop {
        let row = next_row(&home.row, shared.instance, Successor(heir));
        let condition = Condition::Revision(home.revision);
        let content = row.encode().into();
        let table = shared.platform.as_ref();
        match settle(table, &row_key(service), condition, content).await {
            Settled::Written(revision) => {
                shared.homes.take(service, revision, row);
                return true;
            }
            Settled::Lost(Some(found)) => {
                let Ok(row) = crate::policy::once::OwnershipRow::decode(&found.content) else {
                    return false;
                };
                shared.homes.take(service, found.revision, row);
                let Some(later) = shared.homes.get(service) else {
                    return false;
                };
                home = later;
            }
            Settled::Lost(None) | Settled::NotSent(_) | Settled::Unsettled(_) => return false,
        }
    }
}

fn heir(shared: &Shared) -> Option<Instance> {
    let view = shared.view.lock();
    view.serving(&shared.config.service)
        .map(|member| member.instance)
        .find(|instance| *instance != shared.instance)
}
