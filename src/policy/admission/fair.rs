//! A queue that shares slot time among competing workspaces.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::fair_class::{FairClass, SettledCharge};
use super::{CallToken, Outcome, QueuedCall, UsageTable, Weights};
use crate::model::{ClassRank, WorkspaceId};

/// How often idle accounts are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What a started call was charged in advance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCharge {
    rank: ClassRank,
    workspace: Option<WorkspaceId>,
    estimate: f64,
    epoch: u32,
}

/// A queue that shares slot time among competing workspaces.
///
/// When one workspace sends several times its usual load and slots are short, the
/// others still get what they ask for, up to their share. Shares are of time, not
/// of calls, so long calls gain nothing. Classes stay strict: calls of a more
/// important class start first, whatever their workspace. Within a workspace the
/// order is that of [`super::PriorityQueue`].
#[derive(Debug)]
pub struct FairQueue {
    weights: Weights,
    classes: BTreeMap<ClassRank, FairClass>,
    locations: HashMap<CallToken, (ClassRank, Option<WorkspaceId>)>,
    usage: UsageTable,
    epoch: u32,
    last_answer: Option<Instant>,
    last_sweep: Instant,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(now: Instant, weights: Weights) -> Self {
        Self {
            weights,
            classes: BTreeMap::new(),
            locations: HashMap::new(),
            usage: UsageTable::default(),
            epoch: 0,
            last_answer: None,
            last_sweep: now,
        }
    }

    /// Applies changed weights.
    pub fn set_weights(&mut self, weights: Weights) {
        let classes = self.classes.values_mut();
        classes.for_each(|class| class.set_weights(&weights));
        self.weights = weights;
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Records the arrival of a call that is to be started or queued.
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
        self.locations.insert(call.token, (rank, call.workspace));
        let class = self.classes.entry(rank).or_default();
        class.push(now, call, weight);
    }

    /// Removes and returns the call that starts next.
    pub fn pop_first(&mut self) -> Option<QueuedCall> {
        let call = self.classes.values_mut().find_map(FairClass::pop_first)?;
        self.locations.remove(&call.token);
        Some(call)
    }

    /// Evicts a call to make room for `arriving`; returns `None` if it is `arriving`
    /// that has to be shed.
    pub fn make_room(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        let rank = arriving.priority.rank();
        let mut classes = self.classes.iter_mut().rev();
        let (least, class) = classes.find(|(_, class)| class.is_waiting())?;
        let evicted = match rank.cmp(least) {
            std::cmp::Ordering::Greater => None,
            std::cmp::Ordering::Equal => class.evict(Some(arriving)),
            std::cmp::Ordering::Less => class.evict(None),
        }?;
        self.locations.remove(&evicted.token);
        Some(evicted)
    }

    /// Removes the call with `token`.
    pub fn remove(&mut self, token: CallToken) -> Option<QueuedCall> {
        let (rank, workspace) = self.locations.remove(&token)?;
        self.classes.get_mut(&rank)?.remove(workspace, token)
    }

    /// Removes all calls whose wait has expired.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        let classes = self.classes.values_mut().rev();
        let expired: Vec<_> = classes.flat_map(|class| class.take_expired(now)).collect();
        for call in &expired {
            self.locations.remove(&call.token);
        }
        expired
    }

    /// Removes all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        self.locations.clear();
        let classes = self.classes.values_mut().rev();
        classes.flat_map(FairClass::drain).collect()
    }

    /// Charges a starting call the recent mean slot time of its workspace's calls.
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

    /// Replaces the charge of an ended call by the slot time that it used.
    ///
    /// Time after the backend server's last answer or refusal is not charged: a
    /// server that hangs holds slots through no fault of the workspace.
    pub fn settle(&mut self, now: Instant, charge: SlotCharge, started: Instant, outcome: Outcome) {
        let answered = outcome == Outcome::Answered;
        if outcome != Outcome::Failed {
            self.last_answer = Some(now);
        }
        let until = self.last_answer.unwrap_or(started);
        let slot_time = until.saturating_duration_since(started);
        self.usage.add_time(charge.workspace, slot_time);
        if charge.epoch != self.epoch {
            return;
        }
        let settled = SettledCharge {
            estimate: charge.estimate,
            slot_time: slot_time.as_secs_f64(),
            answered,
        };
        if let Some(class) = self.classes.get_mut(&charge.rank) {
            class.settle(now, charge.workspace, settled);
        }
    }

    /// Returns the usage by workspace.
    pub fn usage(&mut self) -> &mut UsageTable {
        &mut self.usage
    }

    /// Discards all charges after a restart of the backend server.
    pub fn forget(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
        self.last_answer = None;
        self.classes.values_mut().for_each(FairClass::reset);
    }

    /// Returns the number of accounts.
    pub fn accounts(&self) -> usize {
        self.classes.values().map(FairClass::len).sum()
    }

    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.classes
            .values_mut()
            .for_each(|class| class.remove_idle(now));
        self.classes.retain(|_, class| class.len() > 0);
    }
}
