//! Rate limit of one daemon's requests to the platform.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

/// Delay after the first failed request.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Default maximum delay after failed requests.
const MAX_BACKOFF: Duration = Duration::from_secs(20);

/// A token bucket for requests to the platform, with exponential backoff.
///
/// The bucket starts with a single burst, so an estate of `n` daemons stays
/// within `n` times the rate even if all of them start at once.
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
    /// Creates a budget of `rate` requests per second and at most `burst` at once.
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

    /// Creates a budget that waits about `max_backoff` at most after failures.
    pub fn with_max_backoff(now: Instant, rate: f64, burst: f64, max_backoff: Duration) -> Self {
        Self {
            max_backoff,
            ..Self::new(now, rate, burst)
        }
    }

    /// Takes a token for one request; returns whether one was available.
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

    /// Records that the platform answered, and resets the backoff.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.blocked_until = None;
    }

    /// Records that the platform did not answer. The delay doubles with each
    /// failure and is randomized.
    pub fn record_failure<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        let wait = (MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(16))).min(self.max_backoff);
        self.failures += 1;
        self.blocked_until = Some(now + wait.mul_f64(rng.random_range(0.5..1.5)));
    }
}
