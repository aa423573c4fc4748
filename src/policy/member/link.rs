//! One standing connection to a neighbour.

use std::time::Duration;

use tokio::time::Instant;

use super::ChangeCount;
use crate::model::Instance;

/// After this long without an answer a watched neighbour is called silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Exchanges that must have failed before it is called silent.
const MIN_FAILURES: u32 = 3;

/// What a link tells of the neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// Nothing has changed.
    Unchanged,
    /// It has been silent for too long.
    Silent,
}

/// How often a neighbour whose view stays different is told everything.
const RESEND_INTERVAL: Duration = Duration::from_secs(15);

/// How far two daemons have told each other their changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncPosition {
    /// Up to which own change the neighbour has been told.
    pub sent: Option<ChangeCount>,
    /// Up to which change of its view it has told us.
    pub received: ChangeCount,
    /// The same of its home rows.
    pub homes_received: ChangeCount,
    /// Up to which change of the own suspects the neighbour has been told.
    pub suspects_sent: ChangeCount,
    /// Up to which change of its suspects it has told us.
    pub suspects_received: ChangeCount,
    /// The instance that the counts belong to.
    pub instance: Option<Instance>,
}

/// What one neighbour has been told and when it last answered.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    position: SyncPosition,
    last_answer: Instant,
    failures: u32,
    differs_since: Option<Instant>,
}

impl Link {
    /// Makes the link to a neighbour that has been told nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            position: SyncPosition::default(),
            last_answer: now,
            failures: 0,
            differs_since: None,
        }
    }

    /// Returns how far the two sides have told each other.
    pub fn position(&self) -> SyncPosition {
        self.position
    }

    /// Takes note of an answer; `same` tells whether both views are now equal.
    ///
    /// News under way makes views differ for a while. Only if they stay
    /// different is everything told again.
    pub fn record_answer(&mut self, now: Instant, position: SyncPosition, same: bool) {
        self.position = position;
        self.last_answer = now;
        self.failures = 0;
        if same {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= RESEND_INTERVAL {
            self.position = SyncPosition::default();
            self.differs_since = None;
        }
    }

    /// Takes note that it did not answer.
    pub fn record_failure(&mut self, now: Instant) -> LinkEvent {
        self.failures += 1;
        let silence = now.saturating_duration_since(self.last_answer);
        if silence >= SILENCE_TIMEOUT && self.failures >= MIN_FAILURES {
            LinkEvent::Silent
        } else {
            LinkEvent::Unchanged
        }
    }
}
