//! Outcomes of once calls at one guard.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::entry::{ENTRY_COST, MAX_KEPT, cost};
use super::{Entry, KeyState, OnceDecision, OnceRefusal, StoredAnswer};
use crate::model::{MintTime, OnceKey};

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Most bytes that it holds.
    pub bytes: usize,
    /// How long keys are remembered after they were minted or first seen.
    pub retention: Duration,
}

/// Keeps outcomes, bounded in bytes and by age.
///
/// Whatever is dropped raises the mint time below which keys are refused, so
/// that forgetting a key never lets it run again.
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
    /// Makes an empty ledger.
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

    /// Takes changed bounds; what no longer fits is dropped as calls come.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// Decides on a call with `key` that this instance may start.
    pub fn begin(&mut self, now: MintTime, key: &OnceKey, body_hash: u64) -> OnceDecision {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(key) {
            if self.stopped && entry.state == KeyState::Claimed {
                return OnceDecision::Refuse(OnceRefusal::WrongOwner);
            }
            let begin = Self::resume(entry, body_hash);
            if begin == OnceDecision::Resume {
                self.bytes += MAX_KEPT;
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
        if !self.make_room(ENTRY_COST + MAX_KEPT) {
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
            KeyState::Done(kept) if kept.body.is_none() => {
                OnceDecision::Refuse(OnceRefusal::AnswerNotKept)
            }
            KeyState::Done(kept) => OnceDecision::Answer(kept.clone()),
            KeyState::Unknown => OnceDecision::Refuse(OnceRefusal::OutcomeLost),
        }
    }

    /// Takes note that a running call was answered.
    pub fn finish(&mut self, key: &OnceKey, mut kept: StoredAnswer) {
        if kept.cost() > MAX_KEPT {
            kept.body = None;
            kept.headers.clear();
        }
        self.set(key, KeyState::Done(kept));
    }

    /// Takes note that the outcome of a running call was lost.
    pub fn mark_lost(&mut self, key: &OnceKey) {
        self.set(key, KeyState::Unknown);
    }

    /// Takes note that a call was shed before it was started; it may start
    /// later.
    pub fn release(&mut self, key: &OnceKey) {
        self.set(key, KeyState::Claimed);
    }

    /// Drops a key that another instance owns.
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

    /// Returns what is known of a key.
    pub fn get(&self, key: &OnceKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Tells whether a call with `key` can be answered without starting it.
    pub fn has_begun(&self, key: &OnceKey) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.state != KeyState::Claimed)
    }

    /// Returns all entries, for a hand-over.
    pub fn entries(&self) -> impl Iterator<Item = (&OnceKey, &Entry)> {
        self.entries.iter()
    }

    /// Starts no key from now on, for good.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Tells whether no key is started any more.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Takes over an entry of an instance that stops.
    ///
    /// A key that is known here already is kept as it is.
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

    /// Takes over the bound below which the other instance had forgotten keys.
    pub fn adopt_forgotten(&mut self, forgotten: MintTime) {
        self.forgotten = self.forgotten.max(forgotten);
    }

    /// Returns the mint time at and below which keys are refused.
    pub fn forgotten(&self) -> MintTime {
        self.forgotten
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes that are accounted for.
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

    /// Drops the oldest entry that does not run.
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
