//! Whether a daemon uses the platform's store itself.
//!
//! The load answered here: an estate of a thousand daemons that starts at once,
//! and goes on for days. If each reads, writes and follows rows for itself, the
//! store gets calls in proportion to the daemons, all of them in the first
//! second. A few of each data centre suffice: what they learn travels between
//! neighbours anyway, and no caller waits for it.

use std::time::Duration;

use tokio::time::Instant;

/// How long a daemon must come first before it acts for its data centre, so that
/// in a start of all, while views fill, not each does so in turn.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long one that no longer comes first still acts, until the one that does
/// has settled.
const LINGER_TIME: Duration = Duration::from_secs(3);
/// After this long without an answer of any neighbour a daemon is cut off: one and
/// a half times what lies between two questions to them. A version of the
/// configuration is then still read within two seconds of its acceptance.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1500);

/// For whom a daemon uses the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// For nobody: others of its data centre do.
    None,
    /// For itself, since no other daemon answers it.
    Isolated,
    /// For its data centre.
    Delegate,
}

impl StoreRole {
    /// Tells whether the daemon uses the store at all.
    pub const fn uses_store(self) -> bool {
        !matches!(self, Self::None)
    }

    /// Returns the word that stands in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Isolated => "own",
            Self::Delegate => "centre",
        }
    }
}

/// What decides on the duty of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct RoleTracker {
    /// Until when it waits for neighbours that it was told of at its start.
    solo_from: Instant,
    /// When a neighbour answered last.
    last_answer: Option<Instant>,
    /// Since when it comes first without a break.
    first_since: Option<Instant>,
    /// When it acted for its data centre last.
    last_delegate: Option<Instant>,
}

impl RoleTracker {
    /// Makes the term of a daemon that starts now and uses the store after
    /// `patience` if nobody answers it.
    pub fn new(now: Instant, patience: Duration) -> Self {
        Self {
            solo_from: now + patience,
            last_answer: None,
            first_since: None,
            last_delegate: None,
        }
    }

    /// Takes note that a neighbour answered.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Tells whether a neighbour has ever answered.
    pub fn has_answer(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Decides; `first` tells whether the daemon comes first in its data centre
    /// by what it knows of the others.
    pub fn decide(&mut self, now: Instant, first: bool) -> StoreRole {
        self.first_since = first.then(|| self.first_since.unwrap_or(now));
        if self.is_isolated(now) {
            return if now < self.solo_from {
                StoreRole::None
            } else {
                StoreRole::Isolated
            };
        }
        let age = |since: Instant| now.saturating_duration_since(since);
        if self
            .first_since
            .is_some_and(|since| age(since) >= SETTLE_TIME)
        {
            self.last_delegate = Some(now);
            return StoreRole::Delegate;
        }
        if self.last_delegate.is_some_and(|at| age(at) < LINGER_TIME) {
            return StoreRole::Delegate;
        }
        StoreRole::None
    }

    fn is_isolated(&self, now: Instant) -> bool {
        let silence = self.last_answer.map(|at| now.saturating_duration_since(at));
        silence.is_none_or(|silence| silence > ISOLATION_TIMEOUT)
    }
}
