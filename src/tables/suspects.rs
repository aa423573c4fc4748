//! Requests that were under way at crashes, as this daemon knows them.

use std::collections::VecDeque;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::{CrashId, Fingerprint};
use crate::policy::crash::{self, RunRestriction, Suspect};
use crate::policy::member::ChangeCount;

/// Crashes of the own server, and requests told of, that are remembered.
const MAX_REMEMBERED: usize = 64;

/// What is to be kept of requests that are held for crashes of the own server.
#[derive(Debug, Default)]
struct SaveQueue {
    /// The crashes of the own server.
    own_crashes: VecDeque<CrashId>,
    /// Requests that were told of.
    queued_digests: VecDeque<u128>,
    /// Requests to tell of.
    waiting: Vec<Suspect>,
}

impl SaveQueue {
    fn record_own_crash(&mut self, crash: CrashId) {
        if !self.own_crashes.contains(&crash) {
            push_bounded(&mut self.own_crashes, crash);
        }
    }

    /// Looks whether a suspect of which something new is known is to be kept.
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

/// The requests that were under way at crashes.
#[derive(Debug, Default)]
pub struct SuspectTable {
    known: Mutex<crash::Suspects>,
    queue: Mutex<SaveQueue>,
}

impl SuspectTable {
    /// Returns what may be done with a request.
    pub fn restriction(&self, request: Fingerprint) -> RunRestriction {
        let known = self.known.lock();
        if known.is_empty() {
            return RunRestriction::Unrestricted;
        }
        known.restriction(Instant::now(), request)
    }

    /// Takes note that a request was under way at a crash; returns whether
    /// that is new.
    pub fn record_crash(&self, request: Fingerprint, crash: CrashId) -> bool {
        self.change(request, |known, now| {
            known.record_crash(now, request, crash)
        })
    }

    /// Takes note that a request was under way at a crash of the own server;
    /// returns whether that is new.
    pub fn record_own_crash(&self, request: Fingerprint, crash: CrashId) -> bool {
        self.queue.lock().record_own_crash(crash);
        self.record_crash(request, crash)
    }

    /// Takes out a request that is held for a crash of the own server, to be
    /// kept where daemons that start find it.
    pub fn take_unsaved(&self) -> Option<Suspect> {
        self.queue.lock().waiting.pop()
    }

    /// Begins to keep requests again that are held, since what was kept may be
    /// lost: those that are held for crashes of the own server, or `all`.
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

    /// Puts back a request that could not be kept yet.
    pub fn return_unsaved(&self, suspect: Suspect) {
        self.queue.lock().waiting.push(suspect);
    }

    /// Tells whether there is a request to be kept.
    pub fn has_unsaved(&self) -> bool {
        !self.queue.lock().waiting.is_empty()
    }

    /// Takes note that a server answered a request; returns whether it was
    /// suspected.
    pub fn record_answer(&self, request: Fingerprint) -> bool {
        if self.known.lock().is_empty() {
            return false;
        }
        self.change(request, |known, now| known.record_answer(now, request))
    }

    /// Takes what another daemon knows; returns whether that is more than was
    /// known here.
    pub fn merge(&self, news: &[Suspect]) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let mut more = false;
        for suspect in news {
            if known.merge(now, suspect) {
                more = true;
                self.queue_if_own(known.get(now, suspect.digest));
            }
        }
        more
    }

    /// Returns what is known of a request.
    pub fn get(&self, request: Fingerprint) -> Option<Suspect> {
        let known = self.known.lock();
        known.get(Instant::now(), request.digest).cloned()
    }

    /// Returns what changed after `since`, and the count of changes.
    pub fn changes_since(&self, since: ChangeCount) -> (Vec<Suspect>, ChangeCount) {
        self.known.lock().changes_since(Instant::now(), since)
    }

    /// Forgets what is over.
    pub fn remove_expired(&self) {
        self.known.lock().remove_expired(Instant::now());
    }

    fn queue_if_own(&self, suspect: Option<&Suspect>) {
        if let Some(suspect) = suspect {
            self.queue.lock().add_if_own(suspect);
        }
    }

    /// Changes what is known of a request, and logs where that leads to
    /// another decision.
    fn change(
        &self,
        request: Fingerprint,
        change: impl FnOnce(&mut crash::Suspects, Instant) -> bool,
    ) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let before = known.restriction(now, request);
        let new = change(&mut known, now);
        let after = known.restriction(now, request);
        let suspect = known.get(now, request.digest);
        let crashes = suspect.map_or(0, Suspect::crash_count);
        if new {
            self.queue_if_own(suspect);
        }
        drop(known);
        if let (RunRestriction::Quarantined(left), false) =
            (after, matches!(before, RunRestriction::Quarantined(_)))
        {
            spdlog::warn!("request held, since it crashes servers", kv: {
                asks = request.to_string().as_str(),
                crashes,
                held_s = left.as_secs()
            });
        }
        if matches!(before, RunRestriction::Quarantined(_)) && after == RunRestriction::Unrestricted
        {
            spdlog::info!("request no longer held", kv: { asks = request.to_string().as_str() });
        }
        new
    }
}
