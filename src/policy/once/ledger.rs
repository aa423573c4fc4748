//! The ledger of once calls at one guard.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::entry::{ENTRY_COST, MAX_ANSWER_COST, cost};
use super::{Entry, KeyState, OnceDecision, OnceRefusal, StoredAnswer};
use crate::model::{MintTime, OnceKey};

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// How long keys are retained after they were minted or first seen.
    pub retention: Duration,
}

/// Records the outcomes of once calls, bounded by size and age.
///
/// Dropping an entry raises the mint time up to which keys are refused, so that
/// a dropped key never runs again.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: HashMap<OnceKey, Entry>,
    order: BTreeSet<(MintTime, OnceKey)>,
    bytes: usize,
    forgotten: MintTime,
    stopped: bool,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            order: BTreeSet::new(),
            bytes: 0,
            forgotten: MintTime::default(),
            stopped: false,
        }
    }

    /// Changes the limits; entries beyond them are dropped by later calls.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// Decides on a call whose key this instance owns.
    pub fn begin(&mut self, now: MintTime, key: &OnceKey, body_hash: u64) -> OnceDecision {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(key) {
            if self.stopped && entry.state == KeyState::Claimed {
                return OnceDecision::Refuse(OnceRefusal::WrongOwner);
            }
            let begin = Self::resume(entry, body_hash);
            if begin == OnceDecision::Resume {
                self.bytes += MAX_ANSWER_COST;
            }
            return begin;
        }
        if self.stopped {
            return OnceDecision::Refuse(OnceRefusal::WrongOwner);
        }
        let age = key.mint_time().unwrap_or(now);
        if age <= self.forgotten {
            return OnceDecision::Refuse(OnceRefusal::Forgotten);
        }
        if !self.make_room(ENTRY_COST + MAX_ANSWER_COST) {
            return OnceDecision::Refuse(OnceRefusal::LedgerFull);
        }
        if age <= self.forgotten {
            return OnceDecision::Refuse(OnceRefusal::Forgotten);
        }
        self.insert(key, KeyState::Running, body_hash, age);
        OnceDecision::Start
    }

    fn resume(entry: &mut Entry, body_hash: u64) -> OnceDecision {
        if entry.body_hash != body_hash {
            return OnceDecision::Refuse(OnceRefusal::BodyDiffers);
        }
        match &entry.state {
            KeyState::Claimed => {
                entry.state = KeyState::Running;
                OnceDecision::Resume
            }
            KeyState::Running => OnceDecision::Attach,
            KeyState::Done(answer) if answer.body.is_none() => {
                OnceDecision::Refuse(OnceRefusal::AnswerNotKept)
            }
            KeyState::Done(answer) => OnceDecision::Answer(answer.clone()),
            KeyState::Unknown => OnceDecision::Refuse(OnceRefusal::OutcomeLost),
        }
    }

    /// Records the answer of a running call; of one that is too large, only the status.
    pub fn finish(&mut self, key: &OnceKey, mut answer: StoredAnswer) {
        if answer.cost() > MAX_ANSWER_COST {
            answer.body = None;
            answer.headers.clear();
        }
        self.set(key, KeyState::Done(answer));
    }

    /// Records that the outcome of a running call was lost.
    pub fn mark_lost(&mut self, key: &OnceKey) {
        self.set(key, KeyState::Unknown);
    }

    /// Records that a call was shed before it started; it may start later.
    pub fn release(&mut self, key: &OnceKey) {
        self.set(key, KeyState::Claimed);
    }

    /// Removes a key that another instance owns.
    pub fn remove(&mut self, key: &OnceKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= cost(key, &entry.state);
            self.order.remove(&(entry.age, key.clone()));
        }
    }

    fn set(&mut self, key: &OnceKey, state: KeyState) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.bytes -= cost(key, &entry.state);
            entry.state = state;
            self.bytes += cost(key, &entry.state);
        }
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &OnceKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns whether the call of `key` was already started.
    pub fn has_begun(&self, key: &OnceKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.state != KeyState::Claimed)
    }

    /// Returns all entries, for the hand-over.
    pub fn entries(&self) -> impl Iterator<Item = (&OnceKey, &Entry)> {
        self.entries.iter()
    }

    /// Stops the ledger permanently: no further call is started.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns whether the ledger was stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Takes over an entry of a stopping instance.
    ///
    /// An entry that exists here already is left unchanged.
    pub fn adopt(&mut self, now: MintTime, key: OnceKey, state: KeyState, body_hash: u64) {
        if self.entries.contains_key(&key) {
            return;
        }
        let state = match state {
            KeyState::Running => KeyState::Unknown,
            other => other,
        };
        let age = key.mint_time().unwrap_or(now);
        self.insert(&key, state, body_hash, age);
        self.make_room(0);
    }

    /// Takes over the mint time up to which a stopping instance has dropped keys.
    pub fn adopt_forgotten(&mut self, forgotten: MintTime) {
        self.forgotten = self.forgotten.max(forgotten);
    }

    /// Returns the mint time up to which new keys are refused.
    pub fn forgotten(&self) -> MintTime {
        self.forgotten
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(&mut self, key: &OnceKey, state: KeyState, body_hash: u64, age: MintTime) {
        self.bytes += cost(key, &state);
        self.order.insert((age, key.clone()));
        let entry = Entry {
            state,
            body_hash,
            age,
        };
        self.entries.insert(key.clone(), entry);
    }

    fn expire(&mut self, now: MintTime) {
        let retention = u64::try_from(self.limits.retention.as_millis()).unwrap_or(u64::MAX);
        let limit = MintTime::from_millis(now.as_millis().saturating_sub(retention));
        while let Some((age, _)) = self.order.first()
            && *age < limit
        {
            if !self.drop_oldest() {
                return;
            }
        }
    }

    fn make_room(&mut self, bytes: usize) -> bool {
        while self.bytes + bytes > self.limits.bytes {
            if !self.drop_oldest() {
                return false;
            }
        }
        true
    }

    /// Drops the oldest entry that is not running; returns whether there was one.
    fn drop_oldest(&mut self) -> bool {
        let running = |key: &OnceKey| {
            self.entries
                .get(key)
                .is_some_and(|entry| entry.state == KeyState::Running)
        };
        let found = self.order.iter().find(|(_, key)| !running(key)).cloned();
        let Some(place) = found else {
            return false;
        };
        self.order.remove(&place);
        if let Some(entry) = self.entries.remove(&place.1) {
            self.bytes -= cost(&place.1, &entry.state);
            self.forgotten = self.forgotten.max(entry.age);
        }
        true
    }
}
