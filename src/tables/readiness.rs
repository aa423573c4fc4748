//! Readiness of this daemon for callers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// How long a daemon counts as just started: requests of callers may then still
/// belong to the stop of the process before it.
const START_TIME: Duration = Duration::from_secs(5);

/// Whether this daemon is ready for callers.
#[derive(Debug)]
pub struct Readiness {
    started_at: Instant,
    members_known: AtomicBool,
    stopping: AtomicBool,
}

impl Default for Readiness {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            members_known: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }
}

impl Readiness {
    /// Records that the other daemons have been looked up.
    pub fn set_members_known(&self) {
        self.members_known.store(true, Ordering::Relaxed);
    }

    /// Records that the daemon is about to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the daemon is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the daemon is about to stop or has just started.
    pub fn is_changing(&self) -> bool {
        self.is_stopping() || self.started_at.elapsed() < START_TIME
    }

    /// Returns whether the other daemons are known and no stop is planned.
    pub fn is_ready(&self) -> bool {
        self.members_known.load(Ordering::Relaxed) && !self.is_stopping()
    }
}
