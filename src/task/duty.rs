//! Keeping up for whom this daemon uses the platform's store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::policy::member::{StoreRole, is_delegate};
use crate::tables::Shared;

/// How often the duty is decided anew.
const LOOK: Duration = Duration::from_millis(250);

/// Decides on the daemon's duty now and then, for ever.
pub async fn keep_duty(shared: Arc<Shared>) {
    loop {
        decide(&shared);
        tokio::time::sleep(LOOK).await;
    }
}

fn decide(shared: &Shared) {
    let (first, members) = {
        let view = shared.view.lock();
        (is_delegate(&view), view.members().len())
    };
    let duty = shared.term.lock().decide(Instant::now(), first);
    let changed = shared.duty.send_if_modified(|known| {
        let changed = *known != duty;
        *known = duty;
        changed
    });
    if changed {
        spdlog::info!("duty at the store", kv: { duty = duty.as_str(), first, members });
    }
}

/// Waits until this daemon uses the store, and returns for whom.
pub(super) async fn on_duty(shared: &Shared) -> StoreRole {
    wait_for(shared, StoreRole::uses_store).await
}

/// Waits until this daemon leaves the store to others.
pub(super) async fn off_duty(shared: &Shared) {
    wait_for(shared, |duty| !duty.uses_store()).await;
}

async fn wait_for(shared: &Shared, is: impl Fn(StoreRole) -> bool) -> StoreRole {
    let mut duty = shared.duty.subscribe();
    let found = duty.wait_for(|duty| is(*duty)).await.map(|duty| *duty);
    match found {
        Ok(duty) => duty,
        // The daemon ends.
        Err(_) => std::future::pending().await,
    }
}
