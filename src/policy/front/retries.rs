//! Which callers come back after an earlier attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Times that differ by less than this share count as one.
const STEP: f64 = 0.01;
/// Steps below the initial time from which on a request counts as a retry. A
/// caller who retries sooner has hardly waited.
const GAP: u32 = 5;
/// Requests without which no time stands out.
const ENOUGH: f64 = 16.0;
/// Least share of requests that are first attempts. Callers retry once or
/// twice, so a third of all requests is new.
const FIRST_SHARE: f64 = 0.25;
/// Share of requests at one shorter time from which on it belongs to callers of
/// another kind; times of retries are spread.
const OTHER_SHARE: f64 = 0.125;
/// Time in which past requests lose half of their weight.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-lives after which nothing is left of past requests.
const MEMORY: u32 = 10;
/// Weight below which a time is forgotten.
const LEAST_WEIGHT: f64 = 0.1;

/// Detects retries of callers by the time that they have left.
///
/// Most callers of a route begin with the same time, and a retry has less of it.
/// Where callers' times differ from the start no retry is detected.
#[derive(Debug)]
pub struct RetryDetector {
    times: BTreeMap<u32, f64>,
    weight: f64,
    halved: Instant,
}

impl RetryDetector {
    /// Makes a detector that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            times: BTreeMap::new(),
            weight: 0.0,
            halved: now,
        }
    }

    /// Takes note of a request whose caller has so much time left, and returns
    /// how long the caller has waited if it is a retry.
    pub fn observe(&mut self, now: Instant, left: Duration) -> Option<Duration> {
        self.age(now);
        let step = step(left);
        *self.times.entry(step).or_default() += 1.0;
        self.weight += 1.0;
        let initial = self.initial()?;
        let is_less = step + GAP <= initial;
        let is_other = self.share(step) >= OTHER_SHARE;
        (is_less && !is_other).then(|| time(initial).saturating_sub(left))
    }

    /// Returns the time that first attempts have, if one stands out.
    fn initial(&self) -> Option<u32> {
        let (step, _) = self
            .times
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let stands_out = self.weight >= ENOUGH && self.share(*step) >= FIRST_SHARE;
        stands_out.then_some(*step)
    }

    fn share(&self, step: u32) -> f64 {
        let count = self.times.get(&step).copied().unwrap_or_default();
        count / self.weight.max(1.0)
    }

    fn age(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.halved);
        if age >= HALF_LIFE * MEMORY {
            *self = Self::new(now);
            return;
        }
        if age < HALF_LIFE {
            return;
        }
        while now.saturating_duration_since(self.halved) >= HALF_LIFE {
            self.halved += HALF_LIFE;
            self.times.retain(|_, count| {
                *count /= 2.0;
                *count >= LEAST_WEIGHT
            });
        }
        self.weight = self.times.values().sum();
    }
}

fn step(time: Duration) -> u32 {
    let ms = (time.as_secs_f64() * 1000.0).max(1.0);
    (ms.ln() / STEP) as u32
}

fn time(step: u32) -> Duration {
    let ms = ((f64::from(step) + 0.5) * STEP).exp();
    Duration::from_secs_f64(ms / 1000.0)
}
