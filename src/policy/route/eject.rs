//! Passive ejection of targets that fail.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Instance;

/// Failures in a row after which a target is ejected.
const EJECTION_FAILURES: u32 = 5;
/// First time a target stays out.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Longest time a target stays out.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(10);
/// Largest share of targets that may be out.
const MAX_EJECTED_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

/// Remembers failures by target and keeps failing ones out for a while.
///
/// Only what calls met counts; health endpoints are not asked, since they lag
/// or mislead. When its time is over a target gets one call; that call's end
/// decides on its readmission.
#[derive(Debug, Default)]
pub struct Ejector {
    records: HashMap<Instance, Record>,
}

impl Ejector {
    /// Takes note of a call that was answered or refused in good order.
    pub fn record_success(&mut self, target: Instance) {
        // Seldom has any target failed, and a look-up costs more than this.
        if !self.records.is_empty() {
            self.records.remove(&target);
        }
    }

    /// Takes note of a call that failed; `known` is the number of targets.
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

    /// Takes note that a target cannot be reached at all, which says more than
    /// a call that failed there.
    pub fn record_unreachable(&mut self, now: Instant, target: Instance, target_count: usize) {
        let record = self.records.entry(target).or_default();
        record.probing = true;
        // However many are out, a target that cannot be reached is no use.
        self.record_failure(now, target, target_count);
    }

    /// Takes note of a call that ended without telling anything of `target`.
    pub fn record_abandoned(&mut self, now: Instant, target: Instance) {
        if let Some(record) = self.records.get_mut(&target)
            && std::mem::take(&mut record.probing)
        {
            record.ejected_until = Some(now);
        }
    }

    /// Tells whether a call may go to `target` now.
    pub fn admits(&self, now: Instant, target: Instance) -> bool {
        match self.records.get(&target) {
            Some(record) => {
                !record.probing && record.ejected_until.is_none_or(|until| until <= now)
            }
            None => true,
        }
    }

    /// Takes note that a call goes to `target`; after an ejection it is the
    /// one call that decides.
    pub fn record_sent(&mut self, target: Instance) {
        if let Some(record) = self.records.get_mut(&target)
            && record.ejected_until.take().is_some()
        {
            record.probing = true;
        }
    }

    /// Forgets targets that `keep` does not know.
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
