//! The rate at which requests arrive.

use std::time::Duration;

use tokio::time::Instant;

/// The exponentially weighted mean rate of arrivals.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalRate {
    /// Time in which the weight of an arrival falls by a factor of e.
    time_constant: Duration,
    /// Sum of the arrivals' weights at the last update.
    weight: f64,
    last_update: Instant,
}

impl ArrivalRate {
    pub(super) fn new(now: Instant, time_constant: Duration) -> Self {
        Self {
            time_constant,
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
        self.weight_at(now) / self.time_constant.as_secs_f64()
    }

    fn weight_at(&self, now: Instant) -> f64 {
        self.weight
            * decay(
                now.saturating_duration_since(self.last_update),
                self.time_constant,
            )
    }
}

/// Returns the weight left after `age`, which is 1/e after `time_constant`.
pub(super) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
