//! Status, load and retry delays of one guard.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::{Admission, GuardLoad};
use crate::model::{DemandedLevels, GuardStatus};

/// Mean `Retry-After` while demand doesn't exceed capacity.
const RETRY_BASE: Duration = Duration::from_secs(1);
/// Longest mean `Retry-After`.
const RETRY_MAX: Duration = Duration::from_secs(30);

impl Admission {
    /// Returns whether new calls are refused because the backend server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the load, and counts of calls since the last report.
    pub fn report(&mut self, now: Instant) -> GuardLoad {
        let (downstream, _) = self.downstream.highest(now);
        GuardLoad {
            running: self.running.len(),
            waiting: self.queue.len(),
            limit: self.limit.get(),
            started: std::mem::take(&mut self.start_count),
            shed: std::mem::take(&mut self.shed_count),
            level: self.threshold.level(),
            downstream,
            latency: self.limit.latency().unwrap_or_default(),
            rate: self.throttle.rate(),
        }
    }

    /// Returns the number of calls in flight at the backend server.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the present concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Returns the guard's status for answers to carry.
    pub fn status(&self, now: Instant) -> GuardStatus {
        let (below, classes) = self.downstream.highest(now);
        let load = self.running.len() + self.queue.len();
        GuardStatus {
            demand: DemandedLevels {
                level: self.threshold.level(),
                downstream: below,
                downstream_classes: classes,
            },
            load: u32::try_from(load).unwrap_or(u32::MAX),
            fault_share: self.fault_rate.share(),
            leaving: self.leaving,
            notice: None,
            rate_delay: self.rate_delay(now),
        }
    }

    /// Returns when a refused caller may retry, spread at random.
    pub fn retry_after<R: Rng>(&self, rng: &mut R) -> Duration {
        let mean = RETRY_BASE.mul_f64(self.threshold.excess()).min(RETRY_MAX);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }
}
