//! Weights of what is learned one by one.

use std::time::Duration;

/// How much one piece of news counts for against all before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Smoothing {
    /// Time in which many pieces of news replace half of what was known.
    pub(super) half_life: Duration,
    /// The most that one counts for.
    pub(super) max_weight: f64,
    /// How many pieces of news what is taken for granted at first counts for.
    pub(super) prior_count: f64,
}

impl Smoothing {
    /// Returns the weight of news that comes after `count` others, the last of
    /// them `since` ago.
    pub(super) fn weight(&self, count: u32, elapsed: Duration) -> f64 {
        let count_weight = 1.0 / (f64::from(count) + self.prior_count);
        let time_weight = 1.0 - decay_factor(elapsed, self.half_life);
        count_weight.max(time_weight.min(self.max_weight))
    }
}

/// Returns what is left of a value of some age.
pub(super) fn decayed(value: f64, age: Duration, half_life: Duration) -> f64 {
    value * decay_factor(age, half_life)
}

fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
