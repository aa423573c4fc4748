//! State of the gossip with one neighbour.

use std::time::Duration;

use tokio::time::Instant;

use super::ChangeCount;
use crate::model::Instance;

/// How long a watched neighbour may leave exchanges unanswered before it is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Failed exchanges before a watched neighbour is silent.
const MIN_FAILURES: u32 = 3;

/// What a failed exchange means for the neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// Its state is unchanged.
    Unchanged,
    /// It has not answered for too long.
    Silent,
}

/// Interval at which the whole view is resent while the two views differ.
const RESEND_INTERVAL: Duration = Duration::from_secs(15);

/// How far two daemons have exchanged their changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncPosition {
    /// The last own change that was sent to the neighbour.
    pub sent: Option<ChangeCount>,
    /// The last change of the neighbour's view that was received.
    pub received: ChangeCount,
    /// The last change of its ownership rows that was received.
    pub homes_received: ChangeCount,
    /// The last change of the own suspects that was sent.
    pub suspects_sent: ChangeCount,
    /// The last change of its suspects that was received.
    pub suspects_received: ChangeCount,
    /// The neighbour's instance that the counts belong to.
    pub instance: Option<Instance>,
}

/// How far the exchange with one neighbour has come, and when it last answered.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    position: SyncPosition,
    last_answer: Instant,
    failures: u32,
    differs_since: Option<Instant>,
}

impl Link {
    /// Creates the link to a neighbour that has received nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            position: SyncPosition::default(),
            last_answer: now,
            failures: 0,
            differs_since: None,
        }
    }

    /// Returns how far the two sides have exchanged their changes.
    pub fn position(&self) -> SyncPosition {
        self.position
    }

    /// Returns whether the last exchange was not answered.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records an answer; `same` is whether both views are now equal.
    ///
    /// Updates in transit make views differ briefly. Only if they remain
    /// different, everything is sent again.
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

    /// Records that the neighbour did not answer.
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
