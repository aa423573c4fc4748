//! How fast one backend server answers.

use std::time::Duration;

use tokio::time::Instant;

use super::smoothing::{Smoothing, decayed};

/// Half-life of what was learned of a server's own speed: one that was slow is
/// tried again some seconds later.
const STEADY_HALF_LIFE: Duration = Duration::from_secs(10);
/// How the own speed is learned: some ten answers, and no fewer than some
/// seconds of them, so that a slow spell does not pass for it.
const STEADY_SMOOTHING: Smoothing = Smoothing {
    half_life: Duration::from_secs(3),
    max_weight: 0.25,
    prior_count: 2.0,
};
/// Half-life of a slow spell. Those that callers meet last for half a second.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);
/// How a spell is learned: from two or three answers, or some 50 ms of many.
const SLOWDOWN_SMOOTHING: Smoothing = Smoothing {
    half_life: Duration::from_millis(50),
    max_weight: 0.6,
    prior_count: f64::INFINITY,
};
/// Smallest part that an answer of a spell counts for, however many come.
const MIN_SLOWDOWN_WEIGHT: f64 = 0.1;
/// Logarithm by which a server that has not answered is hoped to be faster
/// than the mean: it gets calls beside fast ones until it has answered some.
const NEW_SERVER_LOG_BONUS: f64 = 0.25;
/// Greatest logarithm of a ratio that is believed, eight times.
const MAX_LOG_RATIO: f64 = 2.079;

/// How fast one backend server answers, as the ratio of its time to what calls
/// of the same kind take at the service's servers in the mean.
///
/// Two parts are learned, both as logarithms so that twice as slow and twice
/// as fast weigh alike: the server's own speed, and the slow spell that it may
/// be in. What is old fades to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyRatio {
    steady_log: f64,
    slowdown_log: f64,
    answers: u32,
    updated_at: Option<Instant>,
}

impl LatencyRatio {
    /// Takes note of an answer whose time exceeded the mean of its kind by a
    /// logarithm of `excess`.
    pub fn record_answer(&mut self, now: Instant, log_excess: f64) {
        let log_excess = log_excess.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let elapsed = self.age(now);
        self.steady_log = self.steady_log(now);
        self.slowdown_log = self.slowdown_log(now);
        self.steady_log +=
            (log_excess - self.steady_log) * STEADY_SMOOTHING.weight(self.answers, elapsed);
        let weight = SLOWDOWN_SMOOTHING
            .weight(self.answers, elapsed)
            .max(MIN_SLOWDOWN_WEIGHT);
        // There are no fast spells; what looks like one is chance.
        self.slowdown_log = (self.slowdown_log
            + (log_excess - self.steady_log - self.slowdown_log) * weight)
            .max(0.0);
        self.answers = self.answers.saturating_add(1);
        self.updated_at = Some(now);
    }

    /// Takes note of a call that was given up after a time that exceeded the
    /// mean of its kind by `excess`: its answer would have taken longer.
    pub fn record_unanswered(&mut self, now: Instant, log_excess: f64) {
        if log_excess > self.steady_log(now) + self.slowdown_log(now) {
            self.record_answer(now, log_excess);
        }
    }

    /// Tells whether anything has been learned.
    pub fn is_known(&self) -> bool {
        self.answers > 0
    }

    /// Returns the logarithm of its ratio that its own speed makes, without a spell's part.
    pub fn steady_log(&self, now: Instant) -> f64 {
        decayed(self.steady_log, self.age(now), STEADY_HALF_LIFE)
    }

    /// Returns the time of an answer now as a multiple of the service's mean.
    pub fn ratio(&self, now: Instant) -> f64 {
        (self.steady_log(now) + self.slowdown_log(now)).exp()
    }

    /// Returns the ratio with what is hoped of a server that has answered few
    /// calls.
    pub fn optimistic_ratio(&self, now: Instant) -> f64 {
        self.ratio(now) * (-NEW_SERVER_LOG_BONUS / f64::from(self.answers.saturating_add(1))).exp()
    }

    fn slowdown_log(&self, now: Instant) -> f64 {
        decayed(self.slowdown_log, self.age(now), SLOWDOWN_HALF_LIFE)
    }

    fn age(&self, now: Instant) -> Duration {
        self.updated_at
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}
