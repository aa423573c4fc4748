//! Whether callers should be sent to this daemon.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether callers should be sent to this daemon.
#[derive(Debug, Default)]
pub struct Readiness {
    members_known: AtomicBool,
    stopping: AtomicBool,
}

impl Readiness {
    /// Takes note that the other daemons have been asked for.
    pub fn set_members_known(&self) {
        self.members_known.store(true, Ordering::Relaxed);
    }

    /// Takes note that the daemon is about to stop.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether the others are known and no stop is planned.
    pub fn is_ready(&self) -> bool {
        self.members_known.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }
}
