//! The calls and the slot time account of one workspace in one class.

use std::time::Duration;

use tokio::time::Instant;

use super::{PriorityQueue, QueuedCall};
use crate::model::Priority;

/// Weight of one call in the moving average of slot time.
const MEAN_WEIGHT: f64 = 0.1;
/// Calls for which an idle workspace keeps credit: a small workspace, whose share
/// is a few calls a second, sends them in twos and threes.
const IDLE_CREDIT_CALLS: f64 = 2.0;
/// How long an idle account is kept, so that the mean slot time is still known when
/// the workspace returns. It is the longest time that callers wait.
const IDLE_LIFETIME: Duration = Duration::from_secs(5);

/// The calls and the slot time account of one workspace in one class.
#[derive(Debug)]
pub(super) struct Flow {
    /// Its queued calls.
    pub(super) calls: PriorityQueue,
    /// The virtual time at which its next call starts: slot time used by weight, or
    /// about the virtual time of the class after an idle period.
    pub(super) start_tag: f64,
    pub(super) weight: f64,
    pub(super) running: usize,
    mean_time: Option<f64>,
    last_use: Instant,
}

impl Flow {
    /// Creates an account.
    pub(super) fn new(now: Instant, weight: f64) -> Self {
        Self {
            calls: PriorityQueue::default(),
            start_tag: 0.0,
            weight,
            running: 0,
            mean_time: None,
            last_use: now,
        }
    }

    /// Records an arriving call. The start tag of an idle workspace is raised, so
    /// that it keeps credit for no more than a few calls.
    pub(super) fn record_arrival(&mut self, now: Instant, virtual_time: f64, class_mean: f64) {
        self.last_use = now;
        if self.calls.is_empty() {
            let credit = IDLE_CREDIT_CALLS * self.estimate(class_mean) / self.weight;
            self.start_tag = self.start_tag.max(virtual_time - credit);
        }
    }

    /// Returns the slot time in seconds that a call is expected to take.
    pub(super) fn estimate(&self, class_mean: f64) -> f64 {
        self.mean_time.unwrap_or(class_mean)
    }

    /// Charges slot time in seconds; a negative time is refunded.
    pub(super) fn charge(&mut self, time: f64) {
        self.start_tag += time / self.weight;
    }

    /// Records the slot time of an answered call.
    pub(super) fn record_time(&mut self, time: f64) {
        let mean = self.mean_time.unwrap_or(time);
        self.mean_time = Some(mean + (time - mean) * MEAN_WEIGHT);
    }

    /// Records the end of a call.
    pub(super) fn record_end(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.last_use = now;
    }

    /// Returns the virtual time at which its last call would start if `more` calls
    /// were queued.
    pub(super) fn last_start_tag(&self, class_mean: f64, more: usize) -> f64 {
        let before = (self.calls.len() + more).saturating_sub(1) as f64;
        self.start_tag + before * self.estimate(class_mean) / self.weight
    }

    /// Returns the priority of its most important call.
    pub(super) fn first(&self) -> Option<Priority> {
        self.calls.first().map(|call| call.priority)
    }

    /// Returns the least important call.
    pub(super) fn least(&self) -> Option<&QueuedCall> {
        self.calls.least()
    }

    /// Returns whether it has queued or running calls.
    pub(super) fn is_active(&self) -> bool {
        self.running > 0 || !self.calls.is_empty()
    }

    /// Returns whether it has been idle long enough to be removed.
    pub(super) fn has_expired(&self, now: Instant) -> bool {
        !self.is_active() && now.saturating_duration_since(self.last_use) >= IDLE_LIFETIME
    }

    /// Discards the account but keeps the queued calls.
    pub(super) fn reset(&mut self) {
        self.start_tag = 0.0;
        self.mean_time = None;
        self.running = 0;
    }
}
