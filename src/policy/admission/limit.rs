//! The adaptive limit of calls in flight at one backend server.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Slots;

/// Share of the slots at which a cold backend server starts: cold servers take
/// about twice as long, and refuse what is too much.
const COLD_SHARE: f64 = 0.5;
/// Shortest time between two decreases.
const MIN_DECREASE_GAP: Duration = Duration::from_millis(20);
/// Weight of one call in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// How a call at the backend server ended, so far as the limit cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The backend server itself refused it for want of capacity.
    Refused,
    /// It failed in a way that says nothing of capacity.
    Failed,
}

/// Adapts how many calls may be in flight; never above the slots.
///
/// It grows by one for each answer while cold and by one for each full round
/// of answers later; when the backend server sheds, it shrinks to what was in
/// flight then.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    ceiling: f64,
    current: f64,
    cold: bool,
    next_decrease: Option<Instant>,
    latency: Option<f64>,
}

impl ConcurrencyLimit {
    /// Makes the limit of a backend server that has been running.
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

    /// Makes the limit of a backend server that has just started.
    pub fn cold(slots: Slots) -> Self {
        let mut limit = Self::warm(slots);
        limit.current = (limit.ceiling * COLD_SHARE).max(1.0);
        limit.cold = true;
        limit
    }

    /// Takes a changed number of slots; a limit that was at its ceiling stays
    /// there.
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

    /// Returns the mean latency of answers, if any was seen.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Takes note of a call that ended after `latency` with `in_flight` others.
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
        // An unused limit says nothing of what the server could bear.
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
        // What was in flight besides the refused call is what it can bear.
        self.current = self.current.min(in_flight as f64 - 1.0).max(1.0);
        let round = self
            .latency()
            .unwrap_or(MIN_DECREASE_GAP)
            .max(MIN_DECREASE_GAP);
        self.next_decrease = Some(now + round);
    }
}
