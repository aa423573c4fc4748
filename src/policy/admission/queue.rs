//! The priority queue of calls that wait for a slot.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;

use crate::model::{Priority, WorkspaceId};

/// Identifies a call within one guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// A call that asks for admission, and waits in the queue if need be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifies the call.
    pub token: CallToken,
    /// Its position in the order of admission.
    pub priority: Priority,
    /// The workspace that it is made for, if known.
    pub workspace: Option<WorkspaceId>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// When it is shed if it has not started.
    pub expires: Instant,
    /// Whether it may wait for the rate that the backend server requested; if not,
    /// it is refused at once, so that it can go to another server.
    pub may_wait: bool,
}

/// Orders by priority; among equals the newest is the greatest.
type Key = (Priority, u64);

/// A queue that yields the most important call first and, among equals, the newest.
#[derive(Debug, Default)]
pub struct PriorityQueue {
    calls: BTreeMap<Key, QueuedCall>,
    keys: HashMap<CallToken, Key>,
    sequence: u64,
}

impl PriorityQueue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall) {
        self.sequence += 1;
        let key = (call.priority, self.sequence);
        self.calls.insert(key, call);
        self.keys.insert(call.token, key);
    }

    /// Returns the most important call.
    pub fn first(&self) -> Option<&QueuedCall> {
        self.calls.values().next_back()
    }

    /// Removes and returns the most important call.
    pub fn pop_first(&mut self) -> Option<QueuedCall> {
        let (_, call) = self.calls.pop_last()?;
        self.keys.remove(&call.token);
        Some(call)
    }

    /// Removes and returns the least important call.
    pub fn pop_least(&mut self) -> Option<QueuedCall> {
        let (_, call) = self.calls.pop_first()?;
        self.keys.remove(&call.token);
        Some(call)
    }

    /// Returns the least important call.
    pub fn least(&self) -> Option<&QueuedCall> {
        self.calls.values().next()
    }

    /// Returns the number of calls that would start before a new one of `priority`.
    pub fn count_ahead(&self, priority: Priority) -> usize {
        self.calls.range((priority, u64::MAX)..).count()
    }

    /// Removes the call with `token`.
    pub fn remove(&mut self, token: CallToken) -> Option<QueuedCall> {
        let key = self.keys.remove(&token)?;
        self.calls.remove(&key)
    }

    /// Removes all calls whose wait has expired.
    pub fn take_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        let expired: Vec<CallToken> = self
            .calls
            .values()
            .filter(|call| call.expires <= now)
            .map(|call| call.token)
            .collect();
        expired
            .into_iter()
            .filter_map(|token| self.remove(token))
            .collect()
    }

    /// Removes all calls.
    pub fn drain(&mut self) -> Vec<QueuedCall> {
        self.keys.clear();
        std::mem::take(&mut self.calls).into_values().collect()
    }
}
