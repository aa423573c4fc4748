//! Exponential smoothing of samples at irregular times.

use std::time::Duration;

/// Weight of a sample against all earlier ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct Smoothing {
    /// Time in which frequent samples replace half of the earlier value.
    pub(super) half_life: Duration,
    /// Largest weight that a sample gets for the time since the last one.
    pub(super) max_weight: f64,
    /// Number of samples that the initial value counts for.
    pub(super) prior_count: f64,
}

impl Smoothing {
    /// Returns the weight of a sample that follows `count` others, the last of
    /// them `elapsed` ago.
    pub(super) fn weight(&self, count: u32, elapsed: Duration) -> f64 {
        let count_weight = 1.0 / (f64::from(count) + self.prior_count);
        let time_weight = 1.0 - decay_factor(elapsed, self.half_life);
        count_weight.max(time_weight.min(self.max_weight))
    }
}

/// Returns what remains of a value of some age.
pub(super) fn decayed(value: f64, age: Duration, half_life: Duration) -> f64 {
    value * decay_factor(age, half_life)
}

fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
