//! The announcement of the backend server to its own daemon.

use std::time::Duration;

use tokio::time::Instant;

/// How long an announcement holds.
const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Whether the backend server takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It has not announced itself, or has not renewed in time.
    Absent,
    /// It takes calls.
    Serving,
    /// It takes no new calls.
    Leaving,
}

/// The lease that the backend server holds by announcing itself.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    expires_at: Option<Instant>,
    leaving: bool,
}

impl Default for Lease {
    fn default() -> Self {
        Self::absent()
    }
}

impl Lease {
    /// Makes the lease of a backend server that has not announced itself.
    pub const fn absent() -> Self {
        Self {
            expires_at: None,
            leaving: false,
        }
    }

    /// Takes an announcement or a renewal; returns whether it is the first.
    pub fn renew(&mut self, now: Instant) -> bool {
        let first = self.state(now) != LeaseState::Serving;
        self.expires_at = Some(now + LEASE_DURATION);
        self.leaving = false;
        first
    }

    /// Takes note that the backend server takes no new calls.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// Returns the state now.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.expires_at {
            _ if self.leaving => LeaseState::Leaving,
            Some(expires_at) if now < expires_at => LeaseState::Serving,
            _ => LeaseState::Absent,
        }
    }
}
