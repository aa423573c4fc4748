//! Detection of callers who return after an earlier attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Relative difference below which times count as the same.
const LOG_STEP: f64 = 0.01;
/// Steps below the initial time from which on a request counts as a retry; a
/// caller who retries sooner has hardly waited.
const MIN_STEP_GAP: u32 = 5;
/// Fewest requests by which an initial time can be determined.
const MIN_REQUESTS: f64 = 16.0;
/// Smallest share of requests that are first attempts. Callers retry once or
/// twice, so a third of all requests is new.
const MIN_FIRST_SHARE: f64 = 0.25;
/// Share of requests at one shorter time from which on it belongs to another kind
/// of callers; the times of retries are spread.
const OTHER_KIND_SHARE: f64 = 0.125;
/// Half-life of the weight of past requests.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Half-lives after which all past requests are discarded.
const MAX_HALF_LIVES: u32 = 10;
/// Weight below which a time is removed.
const MIN_WEIGHT: f64 = 0.1;

/// Detects retries of callers by the time that they have left.
///
/// Most callers of a route start with the same time, and a retry has less of it.
/// Where callers start with different times, no retry is detected.
#[derive(Debug)]
pub struct RetryDetector {
    weights: BTreeMap<u32, f64>,
    total_weight: f64,
    decayed_at: Instant,
}

impl RetryDetector {
    /// Creates a detector without any requests.
    pub fn new(now: Instant) -> Self {
        Self {
            weights: BTreeMap::new(),
            total_weight: 0.0,
            decayed_at: now,
        }
    }

    /// Records a request of a caller with `time_left`, and returns how long the
    /// caller has waited if it is a retry.
    pub fn observe(&mut self, now: Instant, time_left: Duration) -> Option<Duration> {
        self.decay(now);
        let step = step(time_left);
        *self.weights.entry(step).or_default() += 1.0;
        self.total_weight += 1.0;
        let initial_step = self.initial_step()?;
        let is_less = step + MIN_STEP_GAP <= initial_step;
        let is_other = self.share(step) >= OTHER_KIND_SHARE;
        (is_less && !is_other).then(|| step_time(initial_step).saturating_sub(time_left))
    }

    /// Returns the step of the time that first attempts have, if one stands out.
    fn initial_step(&self) -> Option<u32> {
        let (step, _) = self
            .weights
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let stands_out = self.total_weight >= MIN_REQUESTS && self.share(*step) >= MIN_FIRST_SHARE;
        stands_out.then_some(*step)
    }

    fn share(&self, step: u32) -> f64 {
        let count = self.weights.get(&step).copied().unwrap_or_default();
        count / self.total_weight.max(1.0)
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        if age >= HALF_LIFE * MAX_HALF_LIVES {
            *self = Self::new(now);
            return;
        }
        if age < HALF_LIFE {
            return;
        }
        while now.saturating_duration_since(self.decayed_at) >= HALF_LIFE {
            self.decayed_at += HALF_LIFE;
            self.weights.retain(|_, count| {
                *count /= 2.0;
                *count >= MIN_WEIGHT
            });
        }
        self.total_weight = self.weights.values().sum();
    }
}

fn step(time: Duration) -> u32 {
    let ms = (time.as_secs_f64() * 1000.0).max(1.0);
    (ms.ln() / LOG_STEP) as u32
}

fn step_time(step: u32) -> Duration {
    let ms = ((f64::from(step) + 0.5) * LOG_STEP).exp();
    Duration::from_secs_f64(ms / 1000.0)
}
