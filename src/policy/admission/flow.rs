//! The calls of one workspace in one class, and its account of slot time.

use std::time::Duration;

use tokio::time::Instant;

use super::{Queue, QueuedCall};
use crate::model::Priority;

/// Weight of one call in the moving average of slot time.
const MEAN_WEIGHT: f64 = 0.1;
/// Calls that an idle workspace has stored up: a small one, whose part is a few
/// calls a second, asks for them in twos and threes.
const STORED: f64 = 2.0;
/// How long an idle account is kept, so that the calls of a workspace that
/// comes back are known by what they took: the longest that callers wait.
const MEMORY: Duration = Duration::from_secs(5);

/// The calls of one workspace in one class, and its account of slot time.
#[derive(Debug)]
pub(super) struct Flow {
    /// Its calls that wait.
    pub(super) calls: Queue,
    /// The virtual time at which its next call starts: what it has used by its
    /// weight, or the clock of the class if it used none lately.
    pub(super) tag: f64,
    pub(super) weight: f64,
    pub(super) running: usize,
    mean: Option<f64>,
    used: Instant,
}

impl Flow {
    /// Opens an account.
    pub(super) fn new(now: Instant, weight: f64) -> Self {
        Self {
            calls: Queue::default(),
            tag: 0.0,
            weight,
            running: 0,
            mean: None,
            used: now,
        }
    }

    /// Takes note of a call that arrives. An idle workspace has stored up no more
    /// than a few calls.
    pub(super) fn record_arrival(&mut self, now: Instant, clock: f64, class_mean: f64) {
        self.used = now;
        if self.calls.is_empty() {
            let stored = STORED * self.estimate(class_mean) / self.weight;
            self.tag = self.tag.max(clock - stored);
        }
    }

    /// Returns the slot time in seconds that a call is expected to take.
    pub(super) fn estimate(&self, class_mean: f64) -> f64 {
        self.mean.unwrap_or(class_mean)
    }

    /// Charges slot time in seconds; what is below zero is given back.
    pub(super) fn charge(&mut self, time: f64) {
        self.tag += time / self.weight;
    }

    /// Takes note of the slot time of an answered call.
    pub(super) fn learn(&mut self, time: f64) {
        let mean = self.mean.unwrap_or(time);
        self.mean = Some(mean + (time - mean) * MEAN_WEIGHT);
    }

    /// Takes note of a call that ended.
    pub(super) fn ended(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.used = now;
    }

    /// Returns the virtual time at which its last call would start if `more`
    /// joined those that wait.
    pub(super) fn last_start(&self, class_mean: f64, more: usize) -> f64 {
        let before = (self.calls.len() + more).saturating_sub(1) as f64;
        self.tag + before * self.estimate(class_mean) / self.weight
    }

    /// Returns the place of the call that goes first.
    pub(super) fn first(&self) -> Option<Priority> {
        self.calls.first().map(|call| call.priority)
    }

    /// Returns the least important call.
    pub(super) fn least(&self) -> Option<&QueuedCall> {
        self.calls.least()
    }

    /// Tells whether it has calls that wait or run.
    pub(super) fn is_active(&self) -> bool {
        self.running > 0 || !self.calls.is_empty()
    }

    /// Tells whether it may be forgotten.
    pub(super) fn has_faded(&self, now: Instant) -> bool {
        !self.is_active() && now.saturating_duration_since(self.used) >= MEMORY
    }

    /// Begins anew, keeping the calls that wait.
    pub(super) fn reset(&mut self) {
        self.tag = 0.0;
        self.mean = None;
        self.running = 0;
    }
}
