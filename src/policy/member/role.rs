//! The role of a daemon at the platform's store.
//!
//! If every daemon read, wrote and followed rows itself, the store's load would
//! grow with the estate and peak when a thousand daemons start at once. A few
//! delegates per data centre suffice: gossip passes on what they learn, and no
//! caller waits for it.

use std::time::Duration;

use tokio::time::Instant;

/// How long a daemon must rank among the first before it becomes a delegate.
///
/// When all daemons start at once, many rank first briefly while views fill up.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long a delegate that no longer ranks among the first continues, until its
/// replacement has settled.
const LINGER_TIME: Duration = Duration::from_secs(3);
/// How long after the last answer of any neighbour a daemon counts as isolated.
///
/// It is one and a half gossip intervals, so that an isolated daemon still reads
/// a version of the configuration within two seconds of its acceptance.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1500);

/// On whose behalf a daemon uses the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRole {
    /// It does not use the store; delegates of its data centre do.
    None,
    /// For itself, since no other daemon answers it.
    Isolated,
    /// For its data centre.
    Delegate,
}

impl StoreRole {
    /// Returns whether the daemon uses the store at all.
    pub const fn uses_store(self) -> bool {
        !matches!(self, Self::None)
    }

    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Isolated => "own",
            Self::Delegate => "centre",
        }
    }
}

/// Determines the role of one daemon over time.
#[derive(Clone, Copy, Debug)]
pub struct RoleTracker {
    /// When it may use the store although no neighbour has answered.
    solo_from: Instant,
    /// When a neighbour last answered.
    last_answer: Option<Instant>,
    /// Since when it has ranked among the first without interruption.
    first_since: Option<Instant>,
    /// When it was last a settled delegate.
    last_delegate: Option<Instant>,
}

impl RoleTracker {
    /// Creates the tracker of a daemon that starts now and uses the store after
    /// `patience` if no neighbour answers.
    pub fn new(now: Instant, patience: Duration) -> Self {
        Self {
            solo_from: now + patience,
            last_answer: None,
            first_since: None,
            last_delegate: None,
        }
    }

    /// Records an answer of a neighbour.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Returns whether a neighbour has ever answered.
    pub fn has_answer(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Returns the current role; `first` is whether the daemon ranks among the
    /// first of its data centre by its own view.
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
