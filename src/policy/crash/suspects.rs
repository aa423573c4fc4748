//! The suspects known to one daemon.

use std::collections::HashMap;

use tokio::time::Instant;

use super::{CrashRecord, RunRestriction, Suspect};
use crate::model::{CrashId, Fingerprint};
use crate::policy::member::ChangeCount;

/// Most suspects that are remembered, of some 200 bytes each. One crash adds as
/// many as its server has slots, some hundred.
const MAX_SUSPECTS: usize = 2048;
/// Most other candidates that are sent with a suspect; one is enough to show that
/// the suspect may be harmless.
const MAX_OTHER_CANDIDATES: usize = 4;

/// The requests that were in flight at crashes, limited in number and age.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u128, (Suspect, ChangeCount)>,
    change: ChangeCount,
}

impl Suspects {
    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the restriction for a request.
    pub fn restriction(&self, now: Instant, request: Fingerprint) -> RunRestriction {
        match self.suspects.get(&request.digest) {
            Some((suspect, _)) => {
                suspect.restriction(now, request, self.is_only_candidate(now, suspect))
            }
            None => RunRestriction::Unrestricted,
        }
    }

    /// Returns whether no other suspect was in flight at all crashes at which this
    /// one was.
    fn is_only_candidate(&self, now: Instant, suspect: &Suspect) -> bool {
        suspect.is_likely_cause() && self.other_candidates(now, suspect).next().is_none()
    }

    /// Returns the other suspects that were in flight at all crashes at which this
    /// one was.
    fn other_candidates<'s>(
        &'s self,
        now: Instant,
        suspect: &'s Suspect,
    ) -> impl Iterator<Item = &'s Suspect> {
        let others = self.suspects.values().map(|(other, _)| other);
        others.filter(move |other| {
            other.digest != suspect.digest && !other.is_expired(now) && other.covers(suspect)
        })
    }

    /// Records that a request was in flight at a crash; returns whether that is
    /// new.
    pub fn record_crash(&mut self, now: Instant, request: Fingerprint, crash: CrashId) -> bool {
        let record = CrashRecord {
            crash,
            caller: request.caller,
        };
        let mut suspect = self.get_or_new(now, request.digest);
        let is_new = suspect.add_record(now, record);
        self.store(suspect, is_new);
        is_new
    }

    /// Records all requests that were in flight at a crash; returns whether anything
    /// is new.
    ///
    /// While the request that caused a crash is missing from it, the crash counts
    /// against the others.
    pub fn record_crash_of_all(
        &mut self,
        now: Instant,
        requests: &[Fingerprint],
        crash: CrashId,
    ) -> bool {
        let mut is_new = false;
        for request in requests {
            is_new |= self.record_crash(now, *request, crash);
        }
        is_new
    }

    /// Returns what another daemon must know to decide on a request: its suspect,
    /// and if that may be quarantined, the others that were in flight at the same
    /// crashes.
    pub fn evidence(&self, now: Instant, digest: u128) -> Vec<Suspect> {
        let Some(suspect) = self.get(now, digest) else {
            return Vec::new();
        };
        let mut evidence = vec![suspect.clone()];
        if suspect.is_likely_cause() {
            let others = self.other_candidates(now, suspect);
            evidence.extend(others.take(MAX_OTHER_CANDIDATES).cloned());
        }
        evidence
    }

    /// Records that a server answered a request; returns whether that is new of a
    /// suspect.
    pub fn record_answer(&mut self, now: Instant, request: Fingerprint) -> bool {
        if !self.suspects.contains_key(&request.digest) {
            return false;
        }
        let mut suspect = self.get_or_new(now, request.digest);
        let is_new = suspect.add_answer(request.caller);
        self.store(suspect, is_new);
        is_new
    }

    /// Merges another daemon's update of a suspect; returns whether anything in it
    /// is new.
    pub fn merge(&mut self, now: Instant, update: &Suspect) -> bool {
        if update.is_expired(now) {
            return false;
        }
        let known = self.suspects.get(&update.digest);
        let mut suspect = match known {
            Some((suspect, _)) if !suspect.is_expired(now) => suspect.clone(),
            _ => Suspect::new(update.digest, update.last_crash),
        };
        let changed = suspect.merge(update);
        if changed {
            self.make_room(now, update.digest);
        }
        self.store(suspect, changed);
        changed
    }

    /// Returns the suspect with a digest.
    pub fn get(&self, now: Instant, digest: u128) -> Option<&Suspect> {
        let (suspect, _) = self.suspects.get(&digest)?;
        (!suspect.is_expired(now)).then_some(suspect)
    }

    /// Returns the suspects changed after `since`, and the count of changes.
    pub fn changes_since(&self, now: Instant, since: ChangeCount) -> (Vec<Suspect>, ChangeCount) {
        let later = |(suspect, change): &&(Suspect, ChangeCount)| {
            *change > since && !suspect.is_expired(now)
        };
        let suspects = self.suspects.values().filter(later);
        let suspects = suspects.map(|(suspect, _)| suspect.clone()).collect();
        (suspects, self.change)
    }

    /// Removes the suspects that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        self.suspects
            .retain(|_, (suspect, _)| !suspect.is_expired(now));
    }

    /// Returns a copy of the suspect with a digest, or a new one.
    fn get_or_new(&mut self, now: Instant, digest: u128) -> Suspect {
        match self.suspects.get(&digest) {
            Some((suspect, _)) if !suspect.is_expired(now) => suspect.clone(),
            _ => {
                self.make_room(now, digest);
                Suspect::new(digest, now)
            }
        }
    }

    /// Stores a suspect and counts the change if something in it is new.
    fn store(&mut self, suspect: Suspect, is_new: bool) {
        if is_new {
            self.change = ChangeCount(self.change.0 + 1);
            self.suspects.insert(suspect.digest, (suspect, self.change));
        }
    }

    /// Makes room for one more suspect: removes the expired ones, or else the one
    /// with the fewest crashes, the oldest first.
    fn make_room(&mut self, now: Instant, digest: u128) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&digest) {
            return;
        }
        self.remove_expired(now);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self.suspects.values().map(|(suspect, _)| suspect);
        let weakest = weakest.min_by_key(|suspect| (suspect.crash_count(), suspect.last_crash));
        if let Some(digest) = weakest.map(|suspect| suspect.digest) {
            self.suspects.remove(&digest);
        }
    }
}
