//! Lease of the backend server at its own daemon.

use std::time::Duration;

use tokio::time::Instant;

/// How long an announcement keeps the lease valid.
const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Whether the backend server takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It has not announced itself, or its lease has expired.
    Absent,
    /// It accepts calls.
    Serving,
    /// It accepts no new calls.
    Leaving,
}

/// Lease that the backend server obtains by announcing itself.
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
    /// Creates the lease of a backend server that has not announced itself.
    pub const fn absent() -> Self {
        Self {
            expires_at: None,
            leaving: false,
        }
    }

    /// Starts or renews the lease; returns whether the server was not serving before.
    pub fn renew(&mut self, now: Instant) -> bool {
        let first = self.state(now) != LeaseState::Serving;
        self.expires_at = Some(now + LEASE_DURATION);
        self.leaving = false;
        first
    }

    /// Records that the backend server accepts no new calls.
    pub fn drain(&mut self) {
        self.leaving = true;
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: Instant) -> LeaseState {
        match self.expires_at {
            _ if self.leaving => LeaseState::Leaving,
            Some(expires_at) if now < expires_at => LeaseState::Serving,
            _ => LeaseState::Absent,
        }
    }
}
