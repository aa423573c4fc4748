//! Whether callers should be sent to this daemon.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether callers should be sent to this daemon.
#[derive(Debug, Default)]
pub struct Readiness {
    found: AtomicBool,
    stopping: AtomicBool,
}

impl Readiness {
    /// Takes note that the other daemons have been asked for.
    pub fn found(&self) {
        self.found.store(true, Ordering::Relaxed);
    }

    /// Takes note that the daemon is about to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether the others are known and no stop is planned.
    pub fn is_open(&self) -> bool {
        self.found.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }
}
