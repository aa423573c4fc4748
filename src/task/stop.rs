//! The planned stop of a daemon: announce it, drain, hand over, end.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::lease::update_own_state;
use super::load::log_suppressed;
use super::member_row::remove_row;
use super::ownership::row_key;
use crate::entry::Entry;
use crate::guard::Guard;
use crate::model::Instance;
use crate::peer::{Pool, exchange, hand_over};
use crate::policy::drain::OnwardDrain;
use crate::policy::member::{MemberState, SyncPosition, neighbours};
use crate::policy::once::{Successor, hand_over as hand_over_row};
use crate::store::{Condition, WriteOutcome, write_with_retry};
use crate::tables::Shared;
use crate::web::{Activity, ConnectionCounts, LINGER_TIMEOUT};

/// How long callers have to learn that this daemon is leaving before its entry
/// refuses new calls.
const REFUSAL_DELAY: Duration = Duration::from_millis(1500);
/// How long until all callers have moved away, where their platform probes
/// readiness each second: two probes in a row, and the answers in flight.
const READINESS_DELAY: Duration = Duration::from_millis(2300);
/// How often calls in flight are counted while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the platform may take for the writes at the end.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// The same for a hosted daemon: a hundred times the usual latency of the
/// platform's store.
const HOSTED_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the grace in which calls of a hosted daemon may end. The platform
/// kills the process at the end of the grace, and excuses calls that are cut in
/// its last sixth.
const CALLS_GRACE_SHARE: f64 = 0.9;
/// Share of the grace after which a hosted daemon that still drains tells others that
/// it has left.
const LEAVE_GRACE_SHARE: f64 = 5.0 / 6.0;
/// Share of the grace after which a hosted daemon no longer waits for callers to close
/// their connections.
const CLOSE_GRACE_SHARE: f64 = 0.93;
/// Share of the grace after which a hosted daemon waits for nothing. The rest is for the
/// end of the process.
const END_GRACE_SHARE: f64 = 0.95;
/// How long the answers to calls that are given up may take to be sent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// How long neighbours may take to acknowledge a stop; others learn of it by
/// gossip.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(500);

/// The parts of a daemon that take part in its stop.
pub struct StopParts {
    /// The shared state.
    pub shared: Arc<Shared>,
    /// The entry.
    pub entry: Arc<Entry>,
    /// The guard.
    pub guard: Arc<Guard>,
    /// The connections to other daemons.
    pub pool: Arc<Pool>,
    /// The connections of callers.
    pub connections: ConnectionCounts,
    /// The requests of other daemons that wait for an answer or receive one.
    pub peers: Activity,
}

/// Stops a daemon as planned; returns whether no call was cut.
///
/// It ends when all calls have ended, or after the grace in the settings. A hosted
/// daemon ends before the grace is over, see [`latest_end`].
pub async fn stop(parts: &StopParts, begin: Instant) -> bool {
    let StopParts {
        shared,
        entry,
        guard,
        pool,
        ..
    } = parts;
    InFlight::count(parts).log("stopping", begin);
    shared.readiness.set_stopping();
    entry.drain_onward(OnwardDrain::new(begin, drain_time(shared)));
    if shared.config.hosting.is_some() {
        tokio::time::sleep(READINESS_DELAY).await;
    }
    guard.stop();
    update_own_state(shared, MemberState::Leaving);
    notify_neighbours(shared, pool).await;
    if shared.config.hosting.is_none() {
        tokio::time::sleep(REFUSAL_DELAY).await;
    }
    entry.close();
    InFlight::count(parts).log("draining", begin);
    let drained = if shared.config.hosting.is_some() {
        let drained = drain_and_leave(parts, begin);
        let removed = remove_in_time(shared, HOSTED_WRITE_TIMEOUT);
        let (drained, ()) = tokio::join!(drained, removed);
        drained
    } else {
        let drained = drain(parts, begin).await;
        hand_over_and_leave(parts).await;
        drained
    };
    log_suppressed(shared);
    let took_ms = begin.elapsed().as_millis() as u64;
    spdlog::info!("stopped", kv: { drained = drained, took_ms });
    drained
}

/// Returns when a daemon whose stop began at `begin` waits for nothing any more; `None`
/// if it is not hosted.
pub fn latest_end(shared: &Shared, begin: Instant) -> Option<Instant> {
    let hosting = shared.config.hosting.as_ref();
    hosting.map(|_| begin + shared.config.grace.get().mul_f64(END_GRACE_SHARE))
}

/// What a stopping daemon still has in flight.
struct InFlight {
    /// Requests of callers.
    requests: usize,
    /// Connections of callers whose answers have not been sent completely.
    connections: usize,
    /// Requests of other daemons whose answers have not been sent completely.
    peers: usize,
    /// Calls at the backend server or waiting for it.
    calls: usize,
    /// Calls that may make onward calls.
    parents: usize,
}

impl InFlight {
    fn count(parts: &StopParts) -> Self {
        let (running, waiting, _) = parts.guard.gate().load();
        Self {
            requests: parts.entry.in_flight(),
            connections: parts.connections.busy.count(),
            peers: parts.peers.count(),
            calls: running + waiting + parts.guard.once().in_flight(),
            parents: parts.shared.parent_calls.len(),
        }
    }

    const fn is_empty(&self) -> bool {
        let answers = self.requests + self.connections + self.peers;
        answers == 0 && self.calls == 0 && self.parents == 0
    }

    /// Logs a phase of the stop, with the time since its `begin`.
    fn log(&self, phase: &str, begin: Instant) {
        let after_ms = begin.elapsed().as_millis() as u64;
        let Self {
            requests,
            connections,
            peers,
            calls,
            parents,
        } = *self;
        spdlog::info!("{}", phase, kv: { after_ms, requests, connections, peers, calls, parents });
    }
}

/// Returns how long calls in flight may take to end.
fn drain_time(shared: &Shared) -> Duration {
    let grace = shared.config.grace.get();
    match shared.config.hosting {
        Some(_) => grace.mul_f64(CALLS_GRACE_SHARE),
        None => grace,
    }
}

/// Drains a hosted daemon and tells others that it has left, while it still drains if
/// that takes long.
async fn drain_and_leave(parts: &StopParts, begin: Instant) -> bool {
    let StopParts { shared, pool, .. } = parts;
    let leave_at = begin + shared.config.grace.get().mul_f64(LEAVE_GRACE_SHARE);
    let mut draining = std::pin::pin!(drain(parts, begin));
    let drained = tokio::time::timeout_at(leave_at, draining.as_mut()).await;
    update_own_state(shared, MemberState::Left);
    let left = notify_neighbours(shared, pool);
    match drained {
        Ok(drained) => {
            left.await;
            drained
        }
        Err(_) => tokio::join!(draining, left).0,
    }
}

/// Hands over once calls to another instance and leaves the estate, after all
/// calls have ended.
async fn hand_over_and_leave(parts: &StopParts) {
    let StopParts {
        shared,
        guard,
        pool,
        ..
    } = parts;
    guard.once().stop();
    let last = tokio::time::timeout(WRITE_TIMEOUT, hand_over_ownership(shared, guard, pool)).await;
    spdlog::info!("ledger hand-over ended", kv: { handed_over = last.unwrap_or(false) });
    update_own_state(shared, MemberState::Left);
    let removed = remove_in_time(shared, WRITE_TIMEOUT);
    tokio::join!(removed, notify_neighbours(shared, pool));
}

/// Removes the own member row, unless the platform takes longer than `longest`.
async fn remove_in_time(shared: &Shared, longest: Duration) {
    let removed = tokio::time::timeout(longest, remove_row(shared));
    if removed.await.is_err() {
        spdlog::warn!("cannot remove own member row: the platform timed out");
    }
}

/// Waits until nothing is in flight; returns whether that is so before the time for it
/// is over.
async fn drain(parts: &StopParts, begin: Instant) -> bool {
    let time = drain_time(&parts.shared);
    let drained = loop {
        if InFlight::count(parts).is_empty() {
            break true;
        }
        if begin.elapsed() >= time {
            break false;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    };
    InFlight::count(parts).log("drain ended", begin);
    if drained {
        close_connections(parts, begin).await;
    } else {
        answer_rest(parts).await;
    }
    drained
}

/// Gives up the calls that are not answered yet, and waits for their answers to be sent.
///
/// Their callers would else see a connection that ends without an answer, which may
/// happen as well if their target is silent and no server has the request.
async fn answer_rest(parts: &StopParts) {
    let latest = Instant::now() + ANSWER_TIMEOUT;
    parts.entry.end_calls();
    let is_sending = || parts.entry.in_flight() + parts.connections.busy.count() > 0;
    while is_sending() && Instant::now() < latest {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits for callers to close connections whose last answer is sent: a connection that
/// is closed with unread bytes is reset, and its caller may lose that answer.
async fn close_connections(parts: &StopParts, begin: Instant) {
    let config = &parts.shared.config;
    let mut latest = Instant::now() + LINGER_TIMEOUT;
    if config.hosting.is_some() {
        latest = latest.min(begin + config.grace.get().mul_f64(CLOSE_GRACE_SHARE));
    }
    while parts.connections.closing.count() > 0 && Instant::now() < latest {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn notify_neighbours(shared: &Shared, pool: &Pool) {
    let neighbours = neighbours(&shared.view.lock());
    let exchanges = neighbours
        .all()
        .map(|instance| exchange(shared, pool, instance.address, SyncPosition::default()));
    let exchanges = futures_util::future::join_all(exchanges);
    if tokio::time::timeout(NEIGHBOUR_TIMEOUT, exchanges)
        .await
        .is_err()
    {
        spdlog::debug!("a neighbour did not acknowledge the stop in time");
    }
}

/// Hands the ledger to another instance of the service, then transfers to it the
/// mint times that this instance owns.
async fn hand_over_ownership(shared: &Shared, guard: &Guard, pool: &Pool) -> bool {
    let (entries, forgotten) = guard.once().export();
    let service = &shared.config.service;
    let stored = shared.ownership.get(service);
    let owns = stored.as_ref().is_some_and(|stored| {
        let all = stored.row.slots().iter().flatten();
        all.into_iter().any(|i| i.owner == shared.instance)
    });
    if entries.is_empty() && !owns {
        return true;
    }
    let Some(successor) = successor(shared) else {
        return false;
    };
    if !hand_over(shared, pool, successor, entries, forgotten).await {
        return false;
    }
    let Some(mut stored) = stored else {
        return true;
    };
    loop {
        let row = hand_over_row(&stored.row, shared.instance, Successor(successor));
        let condition = Condition::Revision(stored.revision);
        let content = row.encode().into();
        let table = shared.platform.as_ref();
        match write_with_retry(table, &row_key(service), condition, content).await {
            WriteOutcome::Written(revision) => {
                shared.ownership.update(service, revision, row);
                return true;
            }
            WriteOutcome::Conflict(Some(found)) => {
                let Ok(row) = crate::policy::once::OwnershipRow::decode(&found.content) else {
                    return false;
                };
                shared.ownership.update(service, found.revision, row);
                let Some(later) = shared.ownership.get(service) else {
                    return false;
                };
                stored = later;
            }
            WriteOutcome::Conflict(None) | WriteOutcome::NotSent(_) | WriteOutcome::Unknown(_) => {
                return false;
            }
        }
    }
}

fn successor(shared: &Shared) -> Option<Instance> {
    let view = shared.view.lock();
    view.serving(&shared.config.service)
        .map(|member| member.instance)
        .find(|instance| *instance != shared.instance)
}
