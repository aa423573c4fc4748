//! Suspects of crashes, as last known to this daemon.

use std::collections::VecDeque;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::{CrashId, Fingerprint};
use crate::policy::crash::{self, RunRestriction, Suspect};
use crate::policy::member::ChangeCount;

/// Maximum number of own crashes, and of queued requests, that are remembered.
const MAX_REMEMBERED: usize = 64;

/// Quarantined requests whose rows are still to be written to the platform.
#[derive(Debug, Default)]
struct SaveQueue {
    /// Crashes of this VM's backend server.
    own_crashes: VecDeque<CrashId>,
    /// Requests that have been queued before.
    queued_digests: VecDeque<u128>,
    /// Requests to be written.
    waiting: Vec<Suspect>,
}

impl SaveQueue {
    fn record_own_crash(&mut self, crash: CrashId) {
        if !self.own_crashes.contains(&crash) {
            push_bounded(&mut self.own_crashes, crash);
        }
    }

    /// Queues a suspect if it was in flight at a crash of this VM's server.
    fn add_if_own(&mut self, suspect: &Suspect) {
        if suspect
            .records
            .iter()
            .any(|s| self.own_crashes.contains(&s.crash))
        {
            self.add(suspect);
        }
    }

    fn add(&mut self, suspect: &Suspect) {
        if !suspect.is_likely_cause() || self.queued_digests.contains(&suspect.digest) {
            return;
        }
        push_bounded(&mut self.queued_digests, suspect.digest);
        self.waiting.push(suspect.clone());
    }
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T) {
    list.push_back(item);
    if list.len() > MAX_REMEMBERED {
        list.pop_front();
    }
}

/// The requests that were in flight at crashes.
#[derive(Debug, Default)]
pub struct SuspectTable {
    known: Mutex<crash::Suspects>,
    queue: Mutex<SaveQueue>,
}

impl SuspectTable {
    /// Returns the restriction on running a request.
    pub fn restriction(&self, request: Fingerprint) -> RunRestriction {
        let known = self.known.lock();
        if known.is_empty() {
            return RunRestriction::Unrestricted;
        }
        known.restriction(Instant::now(), request)
    }

    /// Records that a request was in flight at a crash; returns whether that is
    /// new.
    pub fn record_crash(&self, request: Fingerprint, crash: CrashId) -> bool {
        self.change(&[request], |known, now| {
            known.record_crash(now, request, crash)
        })
    }

    /// Records all requests that were in flight at a crash of this VM's server;
    /// returns whether anything is new.
    pub fn record_own_crash(&self, requests: &[Fingerprint], crash: CrashId) -> bool {
        self.queue.lock().record_own_crash(crash);
        self.change(requests, |known, now| {
            known.record_crash_of_all(now, requests, crash)
        })
    }

    /// Returns what an entry must know to decide on a request that was in flight at
    /// a crash.
    pub fn evidence(&self, request: Fingerprint) -> Vec<Suspect> {
        self.known.lock().evidence(Instant::now(), request.digest)
    }

    /// Takes out a quarantined request whose row is to be written, so that daemons
    /// that start later find it.
    pub fn take_unsaved(&self) -> Option<Suspect> {
        self.queue.lock().waiting.pop()
    }

    /// Queues quarantined requests again after the store may have lost their rows:
    /// `all`, or only those that crashed this VM's server.
    pub fn save_again(&self, all: bool) {
        let known = self.known.lock();
        let (suspects, _) = known.changes_since(Instant::now(), ChangeCount::default());
        let mut queue = self.queue.lock();
        queue.queued_digests.clear();
        for suspect in &suspects {
            if all {
                queue.add(suspect);
            } else {
                queue.add_if_own(suspect);
            }
        }
    }

    /// Returns a request whose row could not be written yet.
    pub fn return_unsaved(&self, suspect: Suspect) {
        self.queue.lock().waiting.push(suspect);
    }

    /// Returns whether there are rows to be written.
    pub fn has_unsaved(&self) -> bool {
        !self.queue.lock().waiting.is_empty()
    }

    /// Records that a server answered a request; returns whether it was a suspect.
    pub fn record_answer(&self, request: Fingerprint) -> bool {
        if self.known.lock().is_empty() {
            return false;
        }
        self.change(&[request], |known, now| known.record_answer(now, request))
    }

    /// Merges an update from another daemon; returns whether it held anything new.
    pub fn merge(&self, updates: &[Suspect]) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let mut more = false;
        for suspect in updates {
            if known.merge(now, suspect) {
                more = true;
                self.queue_if_own(known.get(now, suspect.digest));
            }
        }
        more
    }

    /// Returns the suspect for a request, if there is one.
    pub fn get(&self, request: Fingerprint) -> Option<Suspect> {
        let known = self.known.lock();
        known.get(Instant::now(), request.digest).cloned()
    }

    /// Returns the suspects changed after `since`, and the count of changes.
    pub fn changes_since(&self, since: ChangeCount) -> (Vec<Suspect>, ChangeCount) {
        self.known.lock().changes_since(Instant::now(), since)
    }

    /// Removes the suspects whose time is over.
    pub fn remove_expired(&self) {
        self.known.lock().remove_expired(Instant::now());
    }

    fn queue_if_own(&self, suspect: Option<&Suspect>) {
        if let Some(suspect) = suspect {
            self.queue.lock().add_if_own(suspect);
        }
    }

    /// Changes the suspects of some requests, and logs when the quarantine of one
    /// begins or ends.
    fn change(
        &self,
        requests: &[Fingerprint],
        change: impl FnOnce(&mut crash::Suspects, Instant) -> bool,
    ) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let restrictions = |known: &crash::Suspects| -> Vec<RunRestriction> {
            let of = |request: &Fingerprint| known.restriction(now, *request);
            requests.iter().map(of).collect()
        };
        let before = restrictions(&known);
        let new = change(&mut known, now);
        let after = restrictions(&known);
        let mut crashes = Vec::with_capacity(requests.len());
        for request in requests {
            let suspect = known.get(now, request.digest);
            crashes.push(suspect.map_or(0, Suspect::crash_count));
            if new {
                self.queue_if_own(suspect);
            }
        }
        drop(known);
        for (index, request) in requests.iter().enumerate() {
            log_quarantine(*request, before[index], after[index], crashes[index]);
        }
        new
    }
}

fn log_quarantine(
    request: Fingerprint,
    before: RunRestriction,
    after: RunRestriction,
    crashes: usize,
) {
    let was_quarantined = matches!(before, RunRestriction::Quarantined(_));
    match after {
        RunRestriction::Quarantined(left) if !was_quarantined => {
            spdlog::warn!("request quarantined because it crashes servers", kv: {
                asks = request.to_string().as_str(),
                crashes,
                held_s = left.as_secs()
            });
        }
        RunRestriction::Unrestricted if was_quarantined => {
            spdlog::info!("request no longer quarantined", kv: { asks = request.to_string().as_str() });
        }
        _ => {}
    }
}
