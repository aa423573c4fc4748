//! Fair queueing of the workspaces within one class.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::time::Instant;

use super::flow::Flow;
use super::{CallToken, QueuedCall, Weights};
use crate::model::WorkspaceId;

/// Expected slot time in seconds before any call was answered; its value doesn't
/// matter, as it is the same for all workspaces.
const INITIAL_ESTIMATE: f64 = 0.05;
/// Weight of one call in the moving average of slot time.
const MEAN_WEIGHT: f64 = 0.05;
/// Number of accounts above which idle ones are removed without delay.
const IDLE_FLOW_LIMIT: usize = 1024;

/// Start-time fair queueing of the workspaces within one class.
///
/// Each call is charged to its workspace; the workspace with the least charge by
/// weight, its start tag, starts the next call. Virtual time is the greatest start
/// tag of a call so far, and the tag at which new workspaces begin.
#[derive(Debug)]
pub(super) struct FairClass {
    virtual_time: f64,
    mean_time: f64,
    flows: BTreeMap<Option<WorkspaceId>, Flow>,
}

impl Default for FairClass {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            mean_time: INITIAL_ESTIMATE,
            flows: BTreeMap::new(),
        }
    }
}

impl FairClass {
    /// Returns whether any call is queued.
    pub(super) fn is_waiting(&self) -> bool {
        self.flows.values().any(|flow| !flow.calls.is_empty())
    }

    /// Returns the number of accounts.
    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Records an arriving call.
    pub(super) fn record_arrival(&mut self, now: Instant, call: &QueuedCall, weight: f64) {
        let (virtual_time, mean) = (self.virtual_time, self.mean_time);
        self.flow(now, call, weight)
            .record_arrival(now, virtual_time, mean);
    }

    /// Adds a call.
    pub(super) fn push(&mut self, now: Instant, call: QueuedCall, weight: f64) {
        self.flow(now, &call, weight).calls.push(call);
    }

    fn flow(&mut self, now: Instant, call: &QueuedCall, weight: f64) -> &mut Flow {
        let new = || Flow::new(now, weight);
        self.flows.entry(call.workspace).or_insert_with(new)
    }

    /// Removes and returns the call that starts next.
    pub(super) fn pop_first(&mut self) -> Option<QueuedCall> {
        let waiting = self.flows.values_mut();
        let waiting = waiting.filter(|flow| !flow.calls.is_empty());
        let next = waiting.min_by(|a, b| {
            let by_tag = a.start_tag.total_cmp(&b.start_tag);
            by_tag.then_with(|| b.first().cmp(&a.first()))
        });
        next?.calls.pop_first()
    }

    /// Evicts the least important call of the workspace that is furthest over its
    /// share; returns `None` if that is `arriving`.
    pub(super) fn evict(&mut self, arriving: Option<&QueuedCall>) -> Option<QueuedCall> {
        let mean = self.mean_time;
        let candidates = self.flows.iter_mut().filter_map(|(id, flow)| {
            let own = arriving.filter(|call| call.workspace == *id);
            let least = flow.least().into_iter().chain(own);
            let least = least.map(|call| call.priority).min()?;
            let over = flow.last_start_tag(mean, usize::from(own.is_some()));
            Some((over, Reverse(least), own, flow))
        });
        let furthest = candidates.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, Reverse(least), own, flow) = furthest?;
        match own {
            Some(call) if call.priority == least => None,
            _ => flow.calls.pop_least(),
        }
    }

    /// Charges a starting call and returns the charged seconds.
    pub(super) fn charge(&mut self, call: &QueuedCall) -> f64 {
        let Some(flow) = self.flows.get_mut(&call.workspace) else {
            return 0.0;
        };
        let estimate = flow.estimate(self.mean_time);
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.charge(estimate);
        flow.running += 1;
        estimate
    }

    /// Replaces the charge of an ended call by the slot time that it used.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        workspace: Option<WorkspaceId>,
        ended: SettledCharge,
    ) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        flow.charge(ended.slot_time - ended.estimate);
        flow.record_end(now);
        if ended.answered {
            flow.record_time(ended.slot_time);
            self.mean_time += (ended.slot_time - self.mean_time) * MEAN_WEIGHT;
        }
    }

    /// Removes the call with `token`.
    pub(super) fn remove(
        &mut self,
        workspace: Option<WorkspaceId>,
        token: CallToken,
    ) -> Option<QueuedCall> {
        self.flows.get_mut(&workspace)?.calls.remove(token)
    }

    /// Removes all calls whose wait has expired.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        let flows = self.flows.values_mut();
        flows
            .flat_map(|flow| flow.calls.take_expired(now))
            .collect()
    }

    /// Removes all calls.
    pub(super) fn drain(&mut self) -> Vec<QueuedCall> {
        let flows = self.flows.values_mut();
        flows.flat_map(|flow| flow.calls.drain()).collect()
    }

    /// Removes accounts that have been idle; all idle ones if there are too many.
    pub(super) fn remove_idle(&mut self, now: Instant) {
        self.flows.retain(|_, flow| !flow.has_expired(now));
        if self.flows.len() > IDLE_FLOW_LIMIT {
            self.flows.retain(|_, flow| flow.is_active());
        }
    }

    /// Applies changed weights.
    pub(super) fn set_weights(&mut self, weights: &Weights) {
        for (id, flow) in &mut self.flows {
            flow.weight = weights.of(*id);
        }
    }

    /// Discards all charges; queued calls are kept.
    pub(super) fn reset(&mut self) {
        self.flows.retain(|_, flow| !flow.calls.is_empty());
        self.flows.values_mut().for_each(Flow::reset);
        self.virtual_time = 0.0;
        self.mean_time = INITIAL_ESTIMATE;
    }
}

/// The estimated and the actual slot time of an ended call, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct SettledCharge {
    pub(super) estimate: f64,
    pub(super) slot_time: f64,
    pub(super) answered: bool,
}
