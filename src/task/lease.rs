//! Publication of the state of this daemon's backend server.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::guard::{Guard, LeaseState};
use crate::model::Slots;
use crate::policy::member::MemberState;
use crate::tables::Shared;

/// How often the lease is checked when the backend server announces nothing.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes when the backend server starts, leaves or lets its lease lapse,
/// forever.
pub async fn watch_lease(shared: Arc<Shared>, guard: Arc<Guard>) {
    loop {
        // An announcement takes effect at once; a lapsed lease at the next check.
        let _ = tokio::time::timeout(CHECK_INTERVAL, shared.lease_notify.notified()).await;
        let state = match guard.lease_state() {
            LeaseState::Absent => MemberState::Waiting,
            LeaseState::Serving => MemberState::Serving,
            LeaseState::Leaving => MemberState::Leaving,
        };
        update_own_slots(&shared, guard.announced_slots());
        update_own_state(&shared, state);
    }
}

/// Publishes the number of slots that the backend server announced, if it changed.
fn update_own_slots(shared: &Shared, slots: Option<Slots>) {
    let mut view = shared.view.lock();
    if slots.is_some() && view.own().slots != slots {
        view.update_own(Instant::now(), |own| own.slots = slots);
    }
}

/// Publishes the state of this daemon's member, if it changed.
pub(super) fn update_own_state(shared: &Shared, state: MemberState) {
    let changed = {
        let mut view = shared.view.lock();
        let before = view.own().state;
        // The state `Left` of a stopping daemon is final.
        let stopping = before == MemberState::Left;
        if !stopping && before != state {
            view.update_own(Instant::now(), |own| own.state = state);
        }
        !stopping && before != state
    };
    if changed {
        spdlog::info!("backend server state changed", kv: { state = state.as_str() });
        shared.refresh_targets();
        shared.notify_gossip();
    }
}
