//! Weights of what is learned one by one.

use std::time::Duration;

/// How much one piece of news counts for against all before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighing {
    /// Time in which many pieces of news replace half of what was known.
    pub(super) half: Duration,
    /// The most that one counts for.
    pub(super) most: f64,
    /// How many pieces of news what is taken for granted at first counts for.
    pub(super) prior: f64,
}

impl Weighing {
    /// Returns the weight of news that comes after `count` others, the last of
    /// them `since` ago.
    pub(super) fn weight(&self, count: u32, since: Duration) -> f64 {
        let by_count = 1.0 / (f64::from(count) + self.prior);
        let by_time = 1.0 - kept(since, self.half);
        by_count.max(by_time.min(self.most))
    }
}

/// Returns what is left of a value of some age.
pub(super) fn faded(value: f64, age: Duration, half: Duration) -> f64 {
    value * kept(age, half)
}

fn kept(age: Duration, half: Duration) -> f64 {
    (-age.as_secs_f64() / half.as_secs_f64()).exp2()
}
