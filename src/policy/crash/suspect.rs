//! One request that was under way at crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::RunRestriction;
use crate::model::{CrashId, Fingerprint};

/// Crashes after which a request is held. One server may end by chance, and a
/// repeat of the same caller may be there when the next one does; operators
/// allow three.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes after which a request is held also where another one was under way
/// at all of them: by then both have run alone.
const CERTAIN_CRASHES: usize = 6;
/// Strikes that are remembered of one request.
const MAX_RECORDS: usize = 12;
/// Callers that are remembered as answered, of one request.
const MAX_ANSWERED_CALLERS: usize = 8;
/// How long a request is suspected after the last crash. Callers that come
/// again do so within their deadlines, of some seconds.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// How long a request is held after the last crash. A server that it crashes
/// is away for some seconds, with all calls that were under way; once in ten
/// minutes this costs an estate less than one call in a hundred of one server,
/// and a request that is harmless again, as after a release, is soon served.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Times of one crash, told from daemon to daemon, differ by less than this.
const SAME_CRASH_TOLERANCE: Duration = Duration::from_secs(2);

/// A crash that a request of one caller was under way at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashRecord {
    /// The crash.
    pub crash: CrashId,
    /// Digest of who asked.
    pub caller: u64,
}

/// What is known of one request that was under way at crashes.
///
/// Daemons tell it to each other; what two of them know adds up to the same in
/// whatever order it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// What is asked for, by whomever.
    pub digest: u128,
    /// The crashes.
    pub records: BTreeSet<CrashRecord>,
    /// Digests of the callers to whom a server has answered it since.
    pub answered_callers: BTreeSet<u64>,
    /// When the last crash was.
    pub last_crash: Instant,
}

impl Suspect {
    /// Makes a suspect that was under way at no crash yet.
    pub fn new(digest: u128, now: Instant) -> Self {
        Self {
            digest,
            records: BTreeSet::new(),
            answered_callers: BTreeSet::new(),
            last_crash: now,
        }
    }

    /// Takes note that it was under way at a crash; returns whether that is new.
    ///
    /// A request that was answered to its caller crashes not each server that
    /// runs it, so nothing more is held against that caller's.
    pub(super) fn add_record(&mut self, now: Instant, record: CrashRecord) -> bool {
        if self.answered_callers.contains(&record.caller) || self.records.contains(&record) {
            return false;
        }
        self.last_crash = self.last_crash.max(now);
        self.records.insert(record);
        self.trim();
        true
    }

    /// Keeps the strikes with the highest ids, so that daemons that tell each
    /// other of more than are kept end with the same ones.
    fn trim(&mut self) {
        while self.records.len() > MAX_RECORDS {
            self.records.pop_first();
        }
    }

    /// Takes note that a server answered it to a caller.
    pub(super) fn add_answer(&mut self, caller: u64) -> bool {
        let is_new = self.answered_callers.len() < MAX_ANSWERED_CALLERS
            && self.answered_callers.insert(caller);
        self.records.retain(|record| record.caller != caller);
        is_new
    }

    /// Adds what another daemon knows; returns whether that is more.
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

    /// Tells whether it was under way at all crashes that `other` was at.
    pub(super) fn covers(&self, other: &Self) -> bool {
        self.crash_ids().is_superset(&other.crash_ids())
    }

    /// Tells whether nothing is worth remembering any more.
    pub fn is_expired(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last_crash);
        let lifetime = match self.crash_count() {
            QUARANTINE_CRASHES.. => QUARANTINE_TIME + QUARANTINE_TIME,
            _ => SUSPICION_TIME,
        };
        age >= lifetime
    }

    /// Tells whether it was under way at enough crashes to be the cause of
    /// them, if no other request was.
    pub fn is_likely_cause(&self) -> bool {
        self.crash_count() >= QUARANTINE_CRASHES
    }

    /// Returns what may be done with a request; `only` tells whether no other
    /// suspect was under way at the same crashes.
    ///
    /// Where several callers asked for it at all crashes, only one of them may be
    /// the cause: each runs alone until a crash meets one without the others.
    ///
    /// After its time a held request gets one more run, alone, and is held
    /// again if that crashes a server.
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

    /// Tells whether a caller's request is meant: where that of one caller was
    /// there at all crashes, those of others may be harmless.
    fn implicates(&self, caller: u64) -> bool {
        let mut candidates = self.callers_at_all_crashes().peekable();
        candidates.peek().is_none() || candidates.any(|candidate| candidate == caller)
    }

    /// Returns the callers that were there at all crashes.
    fn callers_at_all_crashes(&self) -> impl Iterator<Item = u64> + '_ {
        let crashes = self.crash_ids();
        let callers: BTreeSet<u64> = self.records.iter().map(|record| record.caller).collect();
        callers.into_iter().filter(move |caller| {
            let record_of = |crash: &CrashId| CrashRecord {
                crash: *crash,
                caller: *caller,
            };
            crashes
                .iter()
                .all(|crash| self.records.contains(&record_of(crash)))
        })
    }
}
