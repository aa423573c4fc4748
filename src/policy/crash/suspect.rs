//! One request that was in flight at crashes.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use tokio::time::Instant;

use super::RunRestriction;
use crate::model::{CrashId, Fingerprint};

/// Crashes after which a request is quarantined. One server may crash by
/// coincidence, and a repeat by the same caller may be in flight when the next
/// one does; operators allow three crashes.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which a request is quarantined even if another one was in flight
/// at all of them: by then both have run alone.
const CERTAIN_CRASHES: usize = 6;
/// Most crashes of which records of one request are kept.
const MAX_CRASHES: usize = 8;
/// Most callers whose records are kept of one crash.
const MAX_CRASH_CALLERS: usize = 8;
/// Most callers that are remembered as answered, for one request.
const MAX_ANSWERED_CALLERS: usize = 8;
/// How long a request is suspected after the last crash. Callers that repeat it
/// do so within their deadlines of some seconds.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// How long a request is quarantined after the last crash. A crashed server is
/// away for some seconds and its calls in flight are lost; once in ten minutes,
/// that is less than one in a hundred calls of one server. A request that has
/// become harmless, as after a release, is served soon enough.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// The times that daemons exchange for one crash differ by less than this.
const SAME_CRASH_TOLERANCE: Duration = Duration::from_secs(2);

/// A crash at which a request of one caller was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashRecord {
    /// The crash.
    pub crash: CrashId,
    /// Digest of the caller.
    pub caller: u64,
}

/// What is known of one request that was in flight at crashes.
///
/// Daemons exchange it by gossip; merging gives the same result in any order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Digest of the request, whoever its caller is.
    pub digest: u128,
    /// The crashes, each with a caller whose request was in flight.
    pub records: BTreeSet<CrashRecord>,
    /// Digests of the callers to whom a server has answered it.
    pub answered_callers: BTreeSet<u64>,
    /// When the last crash occurred.
    pub last_crash: Instant,
}

impl Suspect {
    /// Creates a suspect without crashes.
    pub fn new(digest: u128, now: Instant) -> Self {
        Self {
            digest,
            records: BTreeSet::new(),
            answered_callers: BTreeSet::new(),
            last_crash: now,
        }
    }

    /// Records that it was in flight at a crash; returns whether that is new.
    ///
    /// A request that was answered to its caller does not crash each server, so
    /// that caller's request is no longer suspected.
    pub(super) fn add_record(&mut self, now: Instant, record: CrashRecord) -> bool {
        if self.answered_callers.contains(&record.caller) || self.records.contains(&record) {
            return false;
        }
        self.last_crash = self.last_crash.max(now);
        self.records.insert(record);
        self.trim();
        true
    }

    /// Keeps the crashes with the highest ids, and of each the callers with the
    /// highest digests, so that daemons that exchange more than the maximum end up
    /// with the same records.
    ///
    /// A crash is dropped with all its callers: without the record of the caller
    /// whose request caused it, it would count against the others.
    fn trim(&mut self) {
        let crashes = self.crash_ids();
        let excess = crashes.len().saturating_sub(MAX_CRASHES);
        for dropped in crashes.iter().take(excess) {
            self.records.retain(|record| record.crash != *dropped);
        }
        for crash in crashes.iter().skip(excess) {
            let of_crash = self.records.range(records_of(*crash)).copied();
            let of_crash: Vec<CrashRecord> = of_crash.collect();
            let excess = of_crash.len().saturating_sub(MAX_CRASH_CALLERS);
            for record in &of_crash[..excess] {
                self.records.remove(record);
            }
        }
    }

    /// Records that a server answered it to a caller; returns whether that is new.
    pub(super) fn add_answer(&mut self, caller: u64) -> bool {
        let is_new = self.answered_callers.len() < MAX_ANSWERED_CALLERS
            && self.answered_callers.insert(caller);
        self.records.retain(|record| record.caller != caller);
        is_new
    }

    /// Merges the update of another daemon; returns whether anything is new.
    pub(super) fn merge(&mut self, update: &Self) -> bool {
        let mut changed = false;
        for caller in &update.answered_callers {
            changed |= self.add_answer(*caller);
        }
        let previous = self.records.clone();
        let answered_callers = &self.answered_callers;
        let added = update.records.iter().copied();
        let added = added.filter(|record| !answered_callers.contains(&record.caller));
        self.records.extend(added);
        self.trim();
        changed |=
            self.records != previous || update.last_crash > self.last_crash + SAME_CRASH_TOLERANCE;
        if changed {
            self.last_crash = self.last_crash.max(update.last_crash);
        }
        changed
    }

    /// Returns the number of crashes.
    pub fn crash_count(&self) -> usize {
        self.crash_ids().len()
    }

    fn crash_ids(&self) -> BTreeSet<CrashId> {
        self.records.iter().map(|record| record.crash).collect()
    }

    /// Returns whether it was in flight at all crashes at which `other` was.
    pub(super) fn covers(&self, other: &Self) -> bool {
        self.crash_ids().is_superset(&other.crash_ids())
    }

    /// Returns whether the last crash is so old that the suspect may be forgotten.
    pub fn is_expired(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last_crash);
        let lifetime = match self.crash_count() {
            QUARANTINE_CRASHES.. => QUARANTINE_TIME + QUARANTINE_TIME,
            _ => SUSPICION_TIME,
        };
        age >= lifetime
    }

    /// Returns whether it was in flight at enough crashes to be their cause,
    /// provided that no other request was in flight at all of them.
    pub fn is_likely_cause(&self) -> bool {
        self.crash_count() >= QUARANTINE_CRASHES
    }

    /// Returns the restriction for a request; `is_only` says whether no other
    /// suspect was in flight at the same crashes.
    ///
    /// If the requests of several callers were in flight at all crashes, one of
    /// them may be the cause: each runs alone until a crash occurs with only one
    /// of them in flight.
    ///
    /// When its quarantine ends, a request gets one more run, alone, and is
    /// quarantined again if it crashes a server.
    pub(super) fn restriction(
        &self,
        now: Instant,
        request: Fingerprint,
        is_only: bool,
    ) -> RunRestriction {
        if self.is_expired(now) || self.answered_callers.contains(&request.caller) {
            return RunRestriction::Unrestricted;
        }
        let time_left = (self.last_crash + QUARANTINE_TIME).saturating_duration_since(now);
        let crashes = self.crash_count();
        let is_only = is_only && self.callers_at_all_crashes().count() <= 1;
        let is_certain = crashes >= CERTAIN_CRASHES || crashes >= QUARANTINE_CRASHES && is_only;
        match crashes {
            0 => RunRestriction::Unrestricted,
            1 => RunRestriction::FewAtOnce,
            _ if is_certain && self.implicates(request.caller) && !time_left.is_zero() => {
                RunRestriction::Quarantined(time_left)
            }
            _ => RunRestriction::OneAtOnce,
        }
    }

    /// Returns whether a caller's request may be the cause: if that of one caller
    /// was in flight at all crashes, those of others may be harmless.
    fn implicates(&self, caller: u64) -> bool {
        let mut candidates = self.callers_at_all_crashes().peekable();
        candidates.peek().is_none() || candidates.any(|candidate| candidate == caller)
    }

    /// Returns the callers whose requests were in flight at all crashes.
    fn callers_at_all_crashes(&self) -> impl Iterator<Item = u64> + '_ {
        let crashes = self.crash_ids();
        let callers: BTreeSet<u64> = self.records.iter().map(|record| record.caller).collect();
        callers.into_iter().filter(move |caller| {
            crashes
                .iter()
                .all(|crash| self.may_have_caller(*crash, *caller))
        })
    }

    /// Returns whether a caller's request may have been in flight at a crash; of
    /// one with many callers not all are recorded.
    fn may_have_caller(&self, crash: CrashId, caller: u64) -> bool {
        self.records.contains(&CrashRecord { crash, caller })
            || self.records.range(records_of(crash)).count() >= MAX_CRASH_CALLERS
    }
}

/// Returns the range of the records of one crash.
fn records_of(crash: CrashId) -> RangeInclusive<CrashRecord> {
    let record = |caller| CrashRecord { crash, caller };
    record(u64::MIN)..=record(u64::MAX)
}
