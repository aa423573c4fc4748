//! Passive ejection of failing targets.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Instance;

/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 5;
/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(10);
/// Largest share of targets that failed calls may eject.
const MAX_EJECTED_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

/// Tracks failures by target and ejects failing ones for a while.
///
/// Only the outcome of calls counts; health endpoints are not queried, since they
/// lag or mislead. After an ejection a target gets one probe call, whose outcome
/// decides on its readmission.
#[derive(Debug, Default)]
pub struct Ejector {
    records: HashMap<Instance, Record>,
}

impl Ejector {
    /// Records a call that was answered or properly refused.
    pub fn record_success(&mut self, target: Instance) {
        // Usually no target has failed, and this check is cheaper than a look-up.
        if !self.records.is_empty() {
            self.records.remove(&target);
        }
    }

    /// Records a failed call; `target_count` is the number of known targets.
    pub fn record_failure(&mut self, now: Instant, target: Instance, target_count: usize) {
        let ejected = self.ejected_count(now);
        let record = self.records.entry(target).or_default();
        record.failures += 1;
        let was_probe = std::mem::take(&mut record.probing);
        if !was_probe && record.failures < EJECTION_FAILURES {
            return;
        }
        if !was_probe && (ejected + 1) as f64 > target_count as f64 * MAX_EJECTED_SHARE {
            return;
        }
        record.ejections += 1;
        record.failures = 0;
        let time = BASE_EJECTION_TIME * 2u32.saturating_pow(record.ejections - 1);
        record.ejected_until = Some(now + time.min(MAX_EJECTION_TIME));
    }

    /// Records that a target cannot be reached at all, which ejects it at once.
    pub fn record_unreachable(&mut self, now: Instant, target: Instance, target_count: usize) {
        let record = self.records.entry(target).or_default();
        record.probing = true;
        // An unreachable target is of no use, however many are ejected.
        self.record_failure(now, target, target_count);
    }

    /// Records a call that ended without evidence about `target`.
    pub fn record_abandoned(&mut self, now: Instant, target: Instance) {
        if let Some(record) = self.records.get_mut(&target)
            && std::mem::take(&mut record.probing)
        {
            record.ejected_until = Some(now);
        }
    }

    /// Returns whether a call may go to `target` now.
    pub fn admits(&self, now: Instant, target: Instance) -> bool {
        match self.records.get(&target) {
            Some(record) => {
                !record.probing && record.ejected_until.is_none_or(|until| until <= now)
            }
            None => true,
        }
    }

    /// Records a call sent to `target`; after an ejection it is the probe.
    pub fn record_sent(&mut self, target: Instance) {
        if let Some(record) = self.records.get_mut(&target)
            && record.ejected_until.take().is_some()
        {
            record.probing = true;
        }
    }

    /// Removes the records of targets for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&Instance) -> bool) {
        self.records.retain(|target, _| keep(target));
    }

    fn ejected_count(&self, now: Instant) -> usize {
        self.records
            .values()
            .filter(|record| {
                record.probing || record.ejected_until.is_some_and(|until| until > now)
            })
            .count()
    }
}
