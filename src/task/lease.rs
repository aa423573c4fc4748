//! What the daemon says of its backend server.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::guard::{Guard, LeaseState};
use crate::model::Slots;
use crate::policy::member::MemberState;
use crate::tables::Shared;

/// How often the lease is looked at without news of the backend server.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Tells the estate when the backend server comes, leaves or lapses, for ever.
pub async fn watch_lease(shared: Arc<Shared>, guard: Arc<Guard>) {
    loop {
        // What is announced counts at once; that nothing is, after a while.
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

/// Says how many slots the backend server announced, if that has changed.
fn update_own_slots(shared: &Shared, slots: Option<Slots>) {
    let mut view = shared.view.lock();
    if slots.is_some() && view.own().slots != slots {
        view.update_own(Instant::now(), |own| own.slots = slots);
    }
}

/// Says the state, if it has changed.
pub(super) fn update_own_state(shared: &Shared, state: MemberState) {
    let changed = {
        let mut view = shared.view.lock();
        let before = view.own().state;
        // What a stopping daemon has said is not taken back.
        let stopping = before == MemberState::Left;
        if !stopping && before != state {
            view.update_own(Instant::now(), |own| own.state = state);
        }
        !stopping && before != state
    };
    if changed {
        spdlog::info!("backend server", kv: { state = state.as_str() });
        shared.refresh_targets();
        shared.notify_gossip();
    }
}
