//! Rebuilds of the tables of targets after members changed.

use std::sync::Arc;
use std::time::Duration;

use crate::tables::Shared;

/// Minimum time between two rebuilds. A single change is applied at once. Until
/// the next rebuild, a call to a server that is gone is refused by its guard or
/// finds the port closed, and goes to another target.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Rebuilds the tables of targets whenever members change, forever.
pub async fn refresh_targets(shared: Arc<Shared>) {
    loop {
        shared.refresh_notify.notified().await;
        shared.refresh_targets();
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}
