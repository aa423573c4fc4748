//! How many requests a second arrive.

use std::time::Duration;

use tokio::time::Instant;

/// The mean rate of arrivals over about the last `memory`.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalRate {
    /// Time after which an arrival counts a third as much.
    memory: Duration,
    /// Arrivals that still count.
    weight: f64,
    last_update: Instant,
}

impl ArrivalRate {
    pub(super) fn new(now: Instant, memory: Duration) -> Self {
        Self {
            memory,
            weight: 0.0,
            last_update: now,
        }
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + 1.0;
        self.last_update = now;
    }

    /// Returns the arrivals a second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.weight_at(now) / self.memory.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        self.weight * decay(now.saturating_duration_since(self.last_update), self.memory)
    }
}

/// Returns what is left of 1 after `age`, if a third is left after `memory`.
pub(super) fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
