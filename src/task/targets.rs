//! Filling of the tables of targets after members changed.

use std::sync::Arc;
use std::time::Duration;

use crate::tables::Shared;

/// Shortest time between two fillings. A change that comes alone is taken at
/// once; a call that meets a server which is gone meanwhile is refused by its
/// guard, or finds its port closed, and goes to another.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Fills the tables of targets anew whenever members changed, for ever.
pub async fn refresh_targets(shared: Arc<Shared>) {
    loop {
        shared.refresh_notify.notified().await;
        shared.refresh_targets();
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}
