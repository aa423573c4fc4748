//! The rate at which requests arrive.

use std::time::Duration;

use tokio::time::Instant;

/// The exponentially weighted mean rate of arrivals.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalRate {
    /// Time after which the weight of an arrival has fallen to about a third.
    memory: Duration,
    /// Sum of the arrivals' weights at the last update.
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

    /// Returns the arrivals per second.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        self.weight_at(now) / self.memory.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        self.weight * decay(now.saturating_duration_since(self.last_update), self.memory)
    }
}

/// Returns the weight left after `age`, which is 1/e after `memory`.
pub(super) fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
