//! The adaptive concurrency limit of one backend server.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Slots;

/// Share of the slots at which a cold backend server starts: cold servers take
/// about twice as long per call, and refuse calls that they have no room for.
const COLD_SHARE: f64 = 0.5;
/// Shortest time between two decreases.
const MIN_DECREASE_GAP: Duration = Duration::from_millis(20);
/// Weight of one call in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// How a call at the backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered it.
    Answered,
    /// The backend server refused it for lack of capacity.
    Refused,
    /// It failed for a reason unrelated to capacity.
    Failed,
}

/// Adapts how many calls may be in flight, up to the number of slots.
///
/// It grows by one for each answer while cold, and by one for each full round of
/// answers afterwards. When the backend server refuses a call, the limit falls to
/// the calls that were in flight besides it.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    ceiling: f64,
    current: f64,
    cold: bool,
    next_decrease: Option<Instant>,
    latency: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a backend server that has been running.
    pub fn warm(slots: Slots) -> Self {
        let ceiling = f64::from(slots.get());
        Self {
            ceiling,
            current: ceiling,
            cold: false,
            next_decrease: None,
            latency: None,
        }
    }

    /// Creates the limit of a backend server that has just started.
    pub fn cold(slots: Slots) -> Self {
        let mut limit = Self::warm(slots);
        limit.current = (limit.ceiling * COLD_SHARE).max(1.0);
        limit.cold = true;
        limit
    }

    /// Applies a changed number of slots; a limit at its ceiling follows the new
    /// ceiling.
    pub fn resize(&mut self, slots: Slots) {
        let at_ceiling = self.current >= self.ceiling;
        self.ceiling = f64::from(slots.get());
        if at_ceiling || self.current > self.ceiling {
            self.current = self.ceiling;
        }
    }

    /// Returns how many calls may be in flight, at least one.
    pub fn get(&self) -> usize {
        self.current.max(1.0) as usize
    }

    /// Returns the mean latency of answers, if there was any.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Records a call that ended after `latency`; `in_flight` includes the call.
    pub fn record(&mut self, now: Instant, outcome: Outcome, latency: Duration, in_flight: usize) {
        match outcome {
            Outcome::Answered => self.record_answer(latency, in_flight),
            Outcome::Refused => self.record_refusal(now, in_flight),
            Outcome::Failed => {}
        }
    }

    fn record_answer(&mut self, latency: Duration, in_flight: usize) {
        let secs = latency.as_secs_f64();
        let mean = self.latency.unwrap_or(secs);
        self.latency = Some(mean + (secs - mean) * LATENCY_WEIGHT);
        // An answer at low concurrency is no evidence for a higher limit.
        if (in_flight as f64) < self.current * 0.5 {
            return;
        }
        let step = if self.cold { 1.0 } else { 1.0 / self.current };
        self.current = (self.current + step).min(self.ceiling);
        if self.current >= self.ceiling {
            self.cold = false;
        }
    }

    fn record_refusal(&mut self, now: Instant, in_flight: usize) {
        self.cold = false;
        if self.next_decrease.is_some_and(|until| now < until) {
            return;
        }
        // The server can run the calls that were in flight besides the refused one.
        self.current = self.current.min(in_flight as f64 - 1.0).max(1.0);
        let round = self
            .latency()
            .unwrap_or(MIN_DECREASE_GAP)
            .max(MIN_DECREASE_GAP);
        self.next_decrease = Some(now + round);
    }
}
