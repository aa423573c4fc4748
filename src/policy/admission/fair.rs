//! A queue that shares the slots' time among the workspaces that compete.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::fair_class::{Charge, FairClass};
use super::{CallToken, Outcome, QueuedCall, UsageTable, Weights};
use crate::model::{ClassRank, WorkspaceId};

/// How often accounts that are no longer used are looked for.
const SWEEP: Duration = Duration::from_secs(1);

/// What a started call was charged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCharge {
    rank: ClassRank,
    workspace: Option<WorkspaceId>,
    estimate: f64,
    epoch: u32,
}

/// A queue that shares the slots' time among the workspaces that compete.
///
/// It answers one workspace that asks for several times its usual where slots
/// are short: the others keep what they ask for up to their part, by time and
/// not by calls, so that long calls are no way to a greater part. Classes stay
/// strict: the calls of a more important one go first, whoever they are for.
/// Within a workspace the order is that of [`super::Queue`].
#[derive(Debug)]
pub struct FairQueue {
    weights: Weights,
    classes: BTreeMap<ClassRank, FairClass>,
    places: HashMap<CallToken, (ClassRank, Option<WorkspaceId>)>,
    usage: UsageTable,
    epoch: u32,
    answered: Option<Instant>,
    swept: Instant,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new(now: Instant, weights: Weights) -> Self {
        Self {
            weights,
            classes: BTreeMap::new(),
            places: HashMap::new(),
            usage: UsageTable::default(),
            epoch: 0,
            answered: None,
            swept: now,
        }
    }

    /// Takes changed weights.
    pub fn set_weights(&mut self, weights: Weights) {
        let classes = self.classes.values_mut();
        classes.for_each(|class| class.set_weights(&weights));
        self.weights = weights;
    }

    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Takes note of a call that may start or wait.
    pub fn record_arrival(&mut self, now: Instant, call: &QueuedCall) {
        self.sweep(now);
        let weight = self.weights.of(call.workspace);
        let class = self.classes.entry(call.priority.rank()).or_default();
        class.record_arrival(now, call, weight);
    }

    /// Adds a call.
    pub fn push(&mut self, now: Instant, call: QueuedCall) {
        let rank = call.priority.rank();
        let weight = self.weights.of(call.workspace);
        self.places.insert(call.token, (rank, call.workspace));
        let class = self.classes.entry(rank).or_default();
        class.push(now, call, weight);
    }

    /// Takes the call that starts next.
    pub fn pop_first(&mut self) -> Option<QueuedCall> {
        let call = self.classes.values_mut().find_map(FairClass::pop_first)?;
        self.places.remove(&call.token);
        Some(call)
    }

    /// Takes a call out to make room for another one; `None` if it is the
    /// `arriving` one that there is no room for.
    pub fn make_room(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        let rank = arriving.priority.rank();
        let mut classes = self.classes.iter_mut().rev();
        let (least, class) = classes.find(|(_, class)| class.is_waiting())?;
        let evicted = match rank.cmp(least) {
            std::cmp::Ordering::Greater => None,
            std::cmp::Ordering::Equal => class.evict(Some(arriving)),
            std::cmp::Ordering::Less => class.evict(None),
        }?;
        self.places.remove(&evicted.token);
        Some(evicted)
    }

    /// Takes out the call named `token`.
    pub fn remove(&mut self, token: CallToken) -> Option<QueuedCall> {
        let (rank, workspace) = self.places.remove(&token)?;
        self.classes.get_mut(&rank)?.remove(workspace, token)
    }

    /// Takes out all calls whose wait has ended.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        let classes = self.classes.values_mut().rev();
        let expired: Vec<_> = classes.flat_map(|class| class.take_expired(now)).collect();
        for call in &expired {
            self.places.remove(&call.token);
        }
        expired
    }

    /// Takes out all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        self.places.clear();
        let classes = self.classes.values_mut().rev();
        classes.flat_map(FairClass::drain).collect()
    }

    /// Charges a call that starts what calls of its workspace took lately.
    pub fn charge(&mut self, call: &QueuedCall) -> SlotCharge {
        let rank = call.priority.rank();
        let class = self.classes.entry(rank).or_default();
        SlotCharge {
            rank,
            workspace: call.workspace,
            estimate: class.charge(call),
            epoch: self.epoch,
        }
    }

    /// Corrects the charge of a call to what it took.
    ///
    /// Time in which the backend server answered nobody is charged to nobody.
    pub fn settle(&mut self, now: Instant, paid: SlotCharge, started: Instant, outcome: Outcome) {
        let answered = outcome == Outcome::Answered;
        if outcome != Outcome::Failed {
            self.answered = Some(now);
        }
        let until = self.answered.unwrap_or(started);
        let taken = until.saturating_duration_since(started);
        self.usage.add_time(paid.workspace, taken);
        if paid.epoch != self.epoch {
            return;
        }
        let charge = Charge {
            estimate: paid.estimate,
            taken: taken.as_secs_f64(),
            answered,
        };
        if let Some(class) = self.classes.get_mut(&paid.rank) {
            class.settle(now, paid.workspace, charge);
        }
    }

    /// Returns what each workspace had of the slots.
    pub fn usage(&mut self) -> &mut UsageTable {
        &mut self.usage
    }

    /// Forgets all charges, since the backend server has started anew.
    pub fn forget(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
        self.answered = None;
        self.classes.values_mut().for_each(FairClass::forget);
    }

    /// Returns the number of accounts that are kept.
    pub fn accounts(&self) -> usize {
        self.classes.values().map(FairClass::len).sum()
    }

    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        self.classes.values_mut().for_each(|class| class.fade(now));
        self.classes.retain(|_, class| class.len() > 0);
    }
}
