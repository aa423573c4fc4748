//! Readiness of this daemon for callers.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether this daemon is ready for callers.
#[derive(Debug, Default)]
pub struct Readiness {
    members_known: AtomicBool,
    stopping: AtomicBool,
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

    /// Returns whether the other daemons are known and no stop is planned.
    pub fn is_ready(&self) -> bool {
        self.members_known.load(Ordering::Relaxed) && !self.is_stopping()
    }
}
