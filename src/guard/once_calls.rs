//! At-most-once calls of one guard: the ledger, and repeats that wait for a run.

use std::collections::HashMap;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

use crate::call::{CallHead, Refusal};
use crate::model::{MintTime, OnceKey, Retries};
use crate::policy::once::{
    KeyState, Ledger, LedgerLimits, OnceDecision, OnceRefusal, StoredAnswer,
};

/// Outcome of a run of an at-most-once call.
#[derive(Clone, Debug)]
pub(super) struct RunOutcome {
    pub(super) result: Result<StoredAnswer, Refusal>,
    /// Retries to return to the attempt that started the run.
    pub(super) account: Retries,
}

/// What to do with an arriving at-most-once call.
pub(super) enum OnceAction {
    /// Run it and report the outcome; `resumed` if the key arrived before.
    Run {
        resumed: bool,
        outcome: OutcomeReceiver,
    },
    /// Wait for the run in progress.
    Attach(OutcomeReceiver),
    /// Return this stored answer.
    Answer(StoredAnswer),
    /// Refuse it for this reason.
    Refuse(OnceRefusal),
}

/// Receives the outcome of a run.
pub(super) type OutcomeReceiver = watch::Receiver<Option<RunOutcome>>;

struct OnceState {
    ledger: Ledger,
    running: HashMap<OnceKey, watch::Sender<Option<RunOutcome>>>,
}

/// The ledger and the runs in progress.
pub struct OnceCalls {
    state: Mutex<OnceState>,
}

impl OnceCalls {
    /// Creates an empty ledger with these limits.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            state: Mutex::new(OnceState {
                ledger: Ledger::new(limits),
                running: HashMap::new(),
            }),
        }
    }

    /// Applies changed limits.
    pub fn set_limits(&self, limits: LedgerLimits) {
        self.state.lock().ledger.set_limits(limits);
    }

    pub(super) fn begin(&self, now: MintTime, key: &OnceKey, hash: u64) -> OnceAction {
        let mut state = self.state.lock();
        let decision = state.ledger.begin(now, key, hash);
        let resumed = decision == OnceDecision::Resume;
        match decision {
            OnceDecision::Start | OnceDecision::Resume => {
                let (sender, outcome) = watch::channel(None);
                state.running.insert(key.clone(), sender);
                OnceAction::Run { resumed, outcome }
            }
            OnceDecision::Attach => match state.running.get(key) {
                Some(sender) => OnceAction::Attach(sender.subscribe()),
                None => OnceAction::Refuse(OnceRefusal::OutcomeLost),
            },
            OnceDecision::Answer(stored) => OnceAction::Answer(stored),
            OnceDecision::Refuse(reason) => OnceAction::Refuse(reason),
        }
    }

    /// Looks up the outcome of a key without starting it.
    pub(super) fn inquire(&self, key: &OnceKey) -> OnceAction {
        let state = self.state.lock();
        match state.ledger.get(key).map(|entry| &entry.state) {
            Some(KeyState::Running) => match state.running.get(key) {
                Some(sender) => OnceAction::Attach(sender.subscribe()),
                None => OnceAction::Refuse(OnceRefusal::OutcomeLost),
            },
            Some(KeyState::Done(stored)) if stored.body.is_some() => {
                OnceAction::Answer(stored.clone())
            }
            Some(KeyState::Done(_)) => OnceAction::Refuse(OnceRefusal::AnswerNotKept),
            Some(KeyState::Unknown) => OnceAction::Refuse(OnceRefusal::OutcomeLost),
            Some(KeyState::Claimed) | None => OnceAction::Refuse(OnceRefusal::Unseen),
        }
    }

    /// Ends a run and passes its outcome to all who wait for it.
    pub(super) fn finish_run(&self, key: &OnceKey, update: LedgerUpdate, outcome: RunOutcome) {
        let mut state = self.state.lock();
        match (update, &outcome.result) {
            (LedgerUpdate::Finish, Ok(stored)) => state.ledger.finish(key, stored.clone()),
            (LedgerUpdate::Finish | LedgerUpdate::Lose, _) => state.ledger.mark_lost(key),
            (LedgerUpdate::Release, _) => state.ledger.release(key),
            (LedgerUpdate::Retract, _) => state.ledger.remove(key),
        }
        if let Some(sender) = state.running.remove(key) {
            sender.send_replace(Some(outcome));
        }
    }

    /// Permanently stops starting keys.
    pub fn stop(&self) {
        self.state.lock().ledger.stop();
    }

    /// Returns the entries, and the mint time up to which keys are forgotten, for a
    /// hand-over.
    pub fn export(&self) -> (Vec<(OnceKey, KeyState, u64)>, MintTime) {
        let state = self.state.lock();
        let entries = state
            .ledger
            .entries()
            .map(|(key, entry)| (key.clone(), entry.state.clone(), entry.body_hash))
            .collect();
        (entries, state.ledger.forgotten())
    }

    /// Adopts the ledger of an instance that is stopping; returns `false` and adopts
    /// nothing if this instance is stopping as well.
    pub fn adopt(
        &self,
        now: MintTime,
        entries: Vec<(OnceKey, KeyState, u64)>,
        forgotten: MintTime,
    ) -> bool {
        let mut state = self.state.lock();
        if state.ledger.is_stopped() {
            return false;
        }
        state.ledger.adopt_forgotten(forgotten);
        for (key, entry_state, hash) in entries {
            state.ledger.adopt(now, key, entry_state, hash);
        }
        true
    }

    /// Returns whether a call with `key` can be answered without starting it.
    pub fn has_begun(&self, key: &OnceKey) -> bool {
        self.state.lock().ledger.has_begun(key)
    }

    /// Returns the number of runs in progress, including those not yet started.
    pub fn in_flight(&self) -> usize {
        self.state.lock().running.len()
    }

    /// Returns the number of keys and their accounted size in bytes.
    pub fn size(&self) -> (usize, usize) {
        let state = self.state.lock();
        (state.ledger.len(), state.ledger.bytes())
    }
}

/// Change of the ledger at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LedgerUpdate {
    /// The call ran and was answered.
    Finish,
    /// The call may have run; its outcome is unknown.
    Lose,
    /// The call did not run and may be started later.
    Release,
    /// The key must not be started here; its entry is removed.
    Retract,
}

/// Hashes method, target and body, which must be the same in a repeat.
pub fn body_hash(head: &CallHead, body: &Bytes) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}
