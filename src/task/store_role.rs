//! Updates of the daemon's role at the platform's store.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::policy::member::{StoreRole, is_delegate};
use crate::tables::Shared;

/// How often the role is decided.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// Decides on the daemon's store role at regular intervals, forever.
pub async fn keep_store_role(shared: Arc<Shared>) {
    loop {
        decide(&shared);
        tokio::time::sleep(DECISION_INTERVAL).await;
    }
}

fn decide(shared: &Shared) {
    let (first, members) = {
        let view = shared.view.lock();
        (is_delegate(&view), view.members().len())
    };
    let role = shared.role_tracker.lock().decide(Instant::now(), first);
    let changed = shared.store_role.send_if_modified(|known| {
        let changed = *known != role;
        *known = role;
        changed
    });
    if changed {
        spdlog::info!("store role changed", kv: { duty = role.as_str(), first, members });
    }
}

/// Waits until this daemon uses the store, and returns its role.
pub(super) async fn until_using_store(shared: &Shared) -> StoreRole {
    wait_for_role(shared, StoreRole::uses_store).await
}

/// Waits until this daemon no longer uses the store.
pub(super) async fn until_not_using_store(shared: &Shared) {
    wait_for_role(shared, |role| !role.uses_store()).await;
}

async fn wait_for_role(shared: &Shared, accepts: impl Fn(StoreRole) -> bool) -> StoreRole {
    let mut role = shared.store_role.subscribe();
    let found = role.wait_for(|role| accepts(*role)).await.map(|role| *role);
    match found {
        Ok(role) => role,
        // The sender is gone: the daemon is ending.
        Err(_) => std::future::pending().await,
    }
}
