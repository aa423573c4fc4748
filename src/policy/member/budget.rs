//! One daemon's share of what the platform can take.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Shortest wait after a platform request failed.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait after platform requests failed.
const MAX_BACKOFF: Duration = Duration::from_secs(20);

/// A token bucket over requests to the platform, with back-off after failures.
///
/// With `n` daemons the estate stays within `n` times the rate also when all
/// of them start at once, since the bucket starts with one burst only.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
    failures: u32,
    max_backoff: Duration,
    blocked_until: Option<Instant>,
}

impl Budget {
    /// Makes a budget of `rate` requests a second and at most `burst` at once.
    pub fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
            failures: 0,
            max_backoff: MAX_BACKOFF,
            blocked_until: None,
        }
    }

    /// Makes a budget that waits at most `longest` after failures.
    pub fn with_max_backoff(now: Instant, rate: f64, burst: f64, max_backoff: Duration) -> Self {
        Self {
            max_backoff,
            ..Self::new(now, rate, burst)
        }
    }

    /// Takes leave for one request, if there is any now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.blocked_until.is_some_and(|until| now < until) {
            return false;
        }
        let age = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + age * self.rate).min(self.burst);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes note that the platform answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// Takes note that the platform did not answer; the next request waits
    /// longer each time, spread at random.
    pub fn record_failure<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        let wait = (MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(16))).min(self.max_backoff);
        self.failures += 1;
        self.blocked_until = Some(now + wait.mul_f64(rng.random_range(0.5..1.5)));
    }
}
