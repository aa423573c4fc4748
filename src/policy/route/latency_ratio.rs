//! Latency of one backend server relative to the mean.

use std::time::Duration;

use tokio::time::Instant;

use super::smoothing::{Smoothing, decayed};

/// Half-life of a server's steady ratio, so that a slow server is tried again
/// after some seconds.
const STEADY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Smoothing of the steady ratio: over about ten answers and at least some
/// seconds, so that a temporary slowdown does not count as steady.
const STEADY_SMOOTHING: Smoothing = Smoothing {
    half_life: Duration::from_secs(3),
    max_weight: 0.25,
    prior_count: 2.0,
};
/// Half-life of a temporary slowdown, which typically lasts half a second.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(300);
/// Smoothing of a slowdown: over two or three answers, or about 50 ms of many.
const SLOWDOWN_SMOOTHING: Smoothing = Smoothing {
    half_life: Duration::from_millis(50),
    max_weight: 0.6,
    prior_count: f64::INFINITY,
};
/// Smallest weight of an answer in a slowdown, however frequent answers are.
const MIN_SLOWDOWN_WEIGHT: f64 = 0.1;
/// Logarithm by which a server without answers is assumed to be faster than the
/// mean, so that it gets calls beside fast ones until it has answered some.
const NEW_SERVER_LOG_BONUS: f64 = 0.25;
/// Largest logarithm of a ratio that is recorded: a factor of eight.
const MAX_LOG_RATIO: f64 = 2.079;

/// Time of one backend server's answers, as a ratio to the mean of calls of the
/// same kind at the service's servers.
///
/// The ratio has a steady part and a temporary slowdown. Both are kept as
/// logarithms, so that twice as slow and twice as fast weigh the same, and decay
/// to the mean with age.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyRatio {
    steady_log: f64,
    slowdown_log: f64,
    answers: u32,
    updated_at: Option<Instant>,
}

impl LatencyRatio {
    /// Records an answer whose time exceeded the mean of its kind by the
    /// logarithm `log_excess`.
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
        // Servers do not speed up temporarily; a negative value is noise.
        self.slowdown_log = (self.slowdown_log
            + (log_excess - self.steady_log - self.slowdown_log) * weight)
            .max(0.0);
        self.answers = self.answers.saturating_add(1);
        self.updated_at = Some(now);
    }

    /// Records a call that ended unanswered after a time that exceeded the mean
    /// of its kind by `log_excess`; its answer would have taken longer.
    pub fn record_unanswered(&mut self, now: Instant, log_excess: f64) {
        if log_excess > self.steady_log(now) + self.slowdown_log(now) {
            self.record_answer(now, log_excess);
        }
    }

    /// Returns whether any answer has been recorded.
    pub fn is_known(&self) -> bool {
        self.answers > 0
    }

    /// Returns the logarithm of the steady ratio, without a slowdown.
    pub fn steady_log(&self, now: Instant) -> f64 {
        decayed(self.steady_log, self.age(now), STEADY_HALF_LIFE)
    }

    /// Returns the current time of an answer as a multiple of the service's mean.
    pub fn ratio(&self, now: Instant) -> f64 {
        (self.steady_log(now) + self.slowdown_log(now)).exp()
    }

    /// Returns the ratio with the bonus of a server that has answered few calls.
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
