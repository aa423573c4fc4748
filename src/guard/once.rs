//! Once calls at one guard: the ledger, and repeats that wait for a run.

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

/// How a run of a once call ended.
#[derive(Clone, Debug)]
pub(super) struct Done {
    pub(super) result: Result<StoredAnswer, Refusal>,
    /// Retries that go home to the attempt that started the run.
    pub(super) account: Retries,
}

/// What to do with an arriving once call.
pub(super) enum Entered {
    /// Run it and report the end; `resumed` if the key came before.
    Run { resumed: bool, end: Ending },
    /// Wait for the run that is under way.
    Attach(Ending),
    /// Give this answer.
    Answer(StoredAnswer),
    /// Refuse it.
    Refuse(OnceRefusal),
}

/// Receives the end of a run.
pub(super) type Ending = watch::Receiver<Option<Done>>;

struct Inner {
    ledger: Ledger,
    running: HashMap<OnceKey, watch::Sender<Option<Done>>>,
}

/// The ledger with the runs under way.
pub struct OnceCalls {
    inner: Mutex<Inner>,
}

impl OnceCalls {
    /// Makes an empty ledger with bounds.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            inner: Mutex::new(Inner {
                ledger: Ledger::new(limits),
                running: HashMap::new(),
            }),
        }
    }

    /// Takes changed bounds.
    pub fn set_limits(&self, limits: LedgerLimits) {
        self.inner.lock().ledger.set_limits(limits);
    }

    pub(super) fn enter(&self, now: MintTime, key: &OnceKey, hash: u64) -> Entered {
        let mut inner = self.inner.lock();
        let begin = inner.ledger.begin(now, key, hash);
        let resumed = begin == OnceDecision::Resume;
        match begin {
            OnceDecision::Start | OnceDecision::Resume => {
                let (sender, end) = watch::channel(None);
                inner.running.insert(key.clone(), sender);
                Entered::Run { resumed, end }
            }
            OnceDecision::Attach => match inner.running.get(key) {
                Some(sender) => Entered::Attach(sender.subscribe()),
                None => Entered::Refuse(OnceRefusal::OutcomeLost),
            },
            OnceDecision::Answer(kept) => Entered::Answer(kept),
            OnceDecision::Refuse(refuse) => Entered::Refuse(refuse),
        }
    }

    /// Looks for the outcome of a key without starting anything.
    pub(super) fn inquire(&self, key: &OnceKey) -> Entered {
        let inner = self.inner.lock();
        match inner.ledger.get(key).map(|entry| &entry.state) {
            Some(KeyState::Running) => match inner.running.get(key) {
                Some(sender) => Entered::Attach(sender.subscribe()),
                None => Entered::Refuse(OnceRefusal::OutcomeLost),
            },
            Some(KeyState::Done(kept)) if kept.body.is_some() => Entered::Answer(kept.clone()),
            Some(KeyState::Done(_)) => Entered::Refuse(OnceRefusal::AnswerNotKept),
            Some(KeyState::Unknown) => Entered::Refuse(OnceRefusal::OutcomeLost),
            Some(KeyState::Claimed) | None => Entered::Refuse(OnceRefusal::Unseen),
        }
    }

    /// Ends a run.
    pub(super) fn end(&self, key: &OnceKey, change: Change, done: Done) {
        let mut inner = self.inner.lock();
        match (change, &done.result) {
            (Change::Finish, Ok(kept)) => inner.ledger.finish(key, kept.clone()),
            (Change::Finish | Change::Lose, _) => inner.ledger.mark_lost(key),
            (Change::Release, _) => inner.ledger.release(key),
            (Change::Retract, _) => inner.ledger.remove(key),
        }
        if let Some(sender) = inner.running.remove(key) {
            sender.send_replace(Some(done));
        }
    }

    /// Starts no key from now on, for good.
    pub fn stop(&self) {
        self.inner.lock().ledger.stop();
    }

    /// Returns the entries and the bound of forgotten keys, for a hand-over.
    pub fn export(&self) -> (Vec<(OnceKey, KeyState, u64)>, MintTime) {
        let inner = self.inner.lock();
        let entries = inner
            .ledger
            .entries()
            .map(|(key, entry)| (key.clone(), entry.state.clone(), entry.body_hash))
            .collect();
        (entries, inner.ledger.forgotten())
    }

    /// Takes over the ledger of an instance that stops; `false` if this one
    /// stops itself.
    pub fn adopt(
        &self,
        now: MintTime,
        entries: Vec<(OnceKey, KeyState, u64)>,
        forgotten: MintTime,
    ) -> bool {
        let mut inner = self.inner.lock();
        if inner.ledger.is_stopped() {
            return false;
        }
        inner.ledger.adopt_forgotten(forgotten);
        for (key, state, hash) in entries {
            inner.ledger.adopt(now, key, state, hash);
        }
        true
    }

    /// Tells whether a call with `key` can be answered without starting it.
    pub fn has_begun(&self, key: &OnceKey) -> bool {
        self.inner.lock().ledger.has_begun(key)
    }

    /// Returns the number of runs under way, those not yet started included.
    pub fn in_flight(&self) -> usize {
        self.inner.lock().running.len()
    }

    /// Returns the number of keys and the bytes that are accounted for.
    pub fn size(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.ledger.len(), inner.ledger.bytes())
    }
}

/// What the end of a run means for the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// It ran and was answered.
    Finish,
    /// It may have run.
    Lose,
    /// It did not run and may be started later.
    Release,
    /// Another instance owns it.
    Retract,
}

/// Hashes what must be the same in a repeat: method, target and body.
pub fn body_hash(head: &CallHead, body: &Bytes) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(head.target.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}
