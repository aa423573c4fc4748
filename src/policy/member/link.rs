//! One standing connection to a neighbour.

use std::time::Duration;

use tokio::time::Instant;

use super::Change;
use crate::model::Instance;

/// After this long without an answer a watched neighbour is called silent.
const SILENT: Duration = Duration::from_secs(4);
/// Exchanges that must have failed before it is called silent.
const FAILURES: u32 = 3;

/// What a link tells of the neighbour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// Nothing has changed.
    Nothing,
    /// It has been silent for too long.
    Silent,
}

/// How often a neighbour whose view stays different is told everything.
const FULL_AGAIN: Duration = Duration::from_secs(15);

/// How far two daemons have told each other their changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Up to which own change the neighbour has been told.
    pub ours: Option<Change>,
    /// Up to which change of its view it has told us.
    pub theirs: Change,
    /// The same of its home rows.
    pub homes: Change,
    /// Up to which change of the own suspects the neighbour has been told.
    pub suspects: Change,
    /// Up to which change of its suspects it has told us.
    pub suspects_of: Change,
    /// The instance that the counts belong to.
    pub of: Option<Instance>,
}

/// What one neighbour has been told and when it last answered.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    told: Told,
    heard: Instant,
    failures: u32,
    differs_since: Option<Instant>,
}

impl Link {
    /// Makes the link to a neighbour that has been told nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            told: Told::default(),
            heard: now,
            failures: 0,
            differs_since: None,
        }
    }

    /// Returns how far the two sides have told each other.
    pub fn told(&self) -> Told {
        self.told
    }

    /// Takes note of an answer; `same` tells whether both views are now equal.
    ///
    /// News under way makes views differ for a while. Only if they stay
    /// different is everything told again.
    pub fn answered(&mut self, now: Instant, told: Told, same: bool) {
        self.told = told;
        self.heard = now;
        self.failures = 0;
        if same {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= FULL_AGAIN {
            self.told = Told::default();
            self.differs_since = None;
        }
    }

    /// Takes note that it did not answer.
    pub fn failed(&mut self, now: Instant) -> LinkEvent {
        self.failures += 1;
        let silence = now.saturating_duration_since(self.heard);
        if silence >= SILENT && self.failures >= FAILURES {
            LinkEvent::Silent
        } else {
            LinkEvent::Nothing
        }
    }
}
