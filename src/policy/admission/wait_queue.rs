//! The wait queue of a guard, by priority or shared among workspaces.

use tokio::time::Instant;

use super::{CallToken, FairQueue, Outcome, PriorityQueue, QueuedCall, SlotCharge, Weights};
use crate::model::Priority;

/// The wait queue, with or without sharing among workspaces.
#[derive(Debug)]
pub(super) enum WaitQueue {
    /// Ordered by priority alone.
    ByPriority(PriorityQueue),
    /// Slots are shared among workspaces.
    Fair(Box<FairQueue>),
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        match self {
            Self::ByPriority(queue) => queue.len(),
            Self::Fair(queue) => queue.len(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Shares slot time by `weights`, or orders by priority alone if `None`; queued
    /// calls are kept.
    pub(super) fn set_weights(&mut self, now: Instant, weights: Option<Weights>) {
        let next = match (&mut *self, weights) {
            (Self::Fair(queue), Some(weights)) => return queue.set_weights(weights),
            (Self::ByPriority(_), None) => return,
            (Self::ByPriority(_), Some(weights)) => {
                Self::Fair(Box::new(FairQueue::new(now, weights)))
            }
            (Self::Fair(_), None) => Self::ByPriority(PriorityQueue::default()),
        };
        let before = std::mem::replace(self, next);
        for call in before.into_calls() {
            self.push(now, call);
        }
    }

    fn into_calls(mut self) -> Vec<QueuedCall> {
        self.drain()
    }

    pub(super) fn record_arrival(&mut self, now: Instant, call: &QueuedCall) {
        if let Self::Fair(queue) = self {
            queue.record_arrival(now, call);
        }
    }

    pub(super) fn push(&mut self, now: Instant, call: QueuedCall) {
        match self {
            Self::ByPriority(queue) => queue.push(call),
            Self::Fair(queue) => queue.push(now, call),
        }
    }

    pub(super) fn pop_first(&mut self) -> Option<QueuedCall> {
        match self {
            Self::ByPriority(queue) => queue.pop_first(),
            Self::Fair(queue) => queue.pop_first(),
        }
    }

    /// Evicts a call to make room for `arriving`; returns `None` if it is `arriving`
    /// that has to be shed.
    pub(super) fn make_room(&mut self, arriving: &QueuedCall) -> Option<QueuedCall> {
        match self {
            Self::ByPriority(queue) => match queue.least() {
                Some(least) if least.priority < arriving.priority => queue.pop_least(),
                _ => None,
            },
            Self::Fair(queue) => queue.make_room(arriving),
        }
    }

    /// Returns the number of calls that would start before a new one of `priority`;
    /// a fair queue counts all, as its order doesn't depend on priority alone.
    pub(super) fn count_ahead(&self, priority: Priority) -> usize {
        match self {
            Self::ByPriority(queue) => queue.count_ahead(priority),
            Self::Fair(queue) => queue.len(),
        }
    }

    /// Removes the least important call if `is_late` holds for it; never from a fair
    /// queue.
    pub(super) fn pop_least_if(
        &mut self,
        is_late: impl Fn(&QueuedCall) -> bool,
    ) -> Option<QueuedCall> {
        match self {
            Self::ByPriority(queue) if queue.least().is_some_and(is_late) => queue.pop_least(),
            Self::ByPriority(_) | Self::Fair(_) => None,
        }
    }

    pub(super) fn remove(&mut self, token: CallToken) -> Option<QueuedCall> {
        match self {
            Self::ByPriority(queue) => queue.remove(token),
            Self::Fair(queue) => queue.remove(token),
        }
    }

    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        match self {
            Self::ByPriority(queue) => queue.take_expired(now),
            Self::Fair(queue) => queue.take_expired(now),
        }
    }

    pub(super) fn drain(&mut self) -> Vec<QueuedCall> {
        match self {
            Self::ByPriority(queue) => queue.drain(),
            Self::Fair(queue) => queue.drain(),
        }
    }

    pub(super) fn charge(&mut self, call: &QueuedCall) -> Option<SlotCharge> {
        match self {
            Self::ByPriority(_) => None,
            Self::Fair(queue) => Some(queue.charge(call)),
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Instant,
        charge: SlotCharge,
        started: Instant,
        outcome: Outcome,
    ) {
        if let Self::Fair(queue) = self {
            queue.settle(now, charge, started, outcome);
        }
    }

    pub(super) fn forget(&mut self) {
        if let Self::Fair(queue) = self {
            queue.forget();
        }
    }

    /// Returns the fair queue if slot time is shared among workspaces.
    pub(super) fn fair_queue(&mut self) -> Option<&mut FairQueue> {
        match self {
            Self::ByPriority(_) => None,
            Self::Fair(queue) => Some(queue),
        }
    }
}
