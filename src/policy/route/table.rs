//! Targets of one service as seen by one entry.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::kind_means::KindMeans;
use super::pick::{CallNeeds, PickInput, demand, pick};
use super::{CallKind, CallTime, Ejector, Pick, Target, TargetState};
use crate::model::{CentreName, ClassRank, DemandedLevels, GuardStatus, Instance};
use crate::policy::admission::ClassShares;
use crate::policy::retry::RetryBudget;

/// Outcome of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The guard answered or refused the call and sent its status.
    Responded(GuardStatus),
    /// The backend server refused the call, and its guard sent its status.
    Rejected(GuardStatus),
    /// The connection failed, stopped responding or returned invalid data.
    Failed,
    /// The daemon cannot be reached at all.
    Unreachable,
    /// The caller went away first, which says nothing about the target.
    Abandoned,
}

/// Targets of one service with everything recorded about them.
#[derive(Debug)]
pub struct Table {
    own_centre: CentreName,
    near: Vec<Target>,
    far: Vec<Target>,
    positions: HashMap<Instance, Position>,
    ejector: Ejector,
    retry_budget: RetryBudget,
    /// How often the callers' own calls of each class lead to further calls.
    onward_shares: ClassShares,
    /// Mean time of each kind of call, if targets are compared by latency.
    kind_means: Option<KindMeans>,
}

#[derive(Clone, Copy, Debug)]
enum Position {
    Near(usize),
    Far(usize),
}

impl Table {
    /// Creates an empty table for an entry in the data centre `own_centre`.
    pub fn new(own_centre: CentreName) -> Self {
        Self {
            own_centre,
            near: Vec::new(),
            far: Vec::new(),
            positions: HashMap::new(),
            ejector: Ejector::default(),
            retry_budget: RetryBudget::default(),
            onward_shares: ClassShares::default(),
            kind_means: None,
        }
    }

    /// Creates an empty table with a given retry budget.
    pub fn with_retry_budget(own_centre: CentreName, retry_budget: RetryBudget) -> Self {
        Self {
            retry_budget,
            ..Self::new(own_centre)
        }
    }

    /// Replaces the set of targets and keeps the state of those that remain.
    pub fn update(&mut self, targets: Vec<Target>) {
        let mut old: HashMap<Instance, Target> = self
            .near
            .drain(..)
            .chain(self.far.drain(..))
            .map(|target| (target.instance, target))
            .collect();
        self.positions.clear();
        for updated in targets {
            let target = match old.remove(&updated.instance) {
                Some(mut known) => {
                    known.update_from(updated);
                    known
                }
                None => updated,
            };
            self.insert(target);
        }
        let positions = &self.positions;
        self.ejector
            .retain(|instance| positions.contains_key(instance));
    }

    fn insert(&mut self, target: Target) {
        let instance = target.instance;
        let position = if target.centre == self.own_centre {
            self.near.push(target);
            Position::Near(self.near.len() - 1)
        } else {
            self.far.push(target);
            Position::Far(self.far.len() - 1)
        };
        self.positions.insert(instance, position);
    }

    /// Chooses a target for a call and counts the call as sent.
    pub fn choose<R: Rng>(&mut self, now: Instant, needs: CallNeeds, rng: &mut R) -> Pick {
        self.choose_except(now, needs, &[], rng)
    }

    /// Chooses a target that is not in `exclude`, and counts the call as sent.
    pub fn choose_except<R: Rng>(
        &mut self,
        now: Instant,
        needs: CallNeeds,
        exclude: &[Instance],
        rng: &mut R,
    ) -> Pick {
        let picked = pick(now, self.pick_input(now, needs, exclude), rng);
        self.count_sent(picked)
    }

    fn pick_input<'a>(
        &'a self,
        now: Instant,
        needs: CallNeeds,
        exclude: &'a [Instance],
    ) -> PickInput<'a> {
        PickInput {
            min_fault_share: self.min_fault_share(now),
            exclude,
            near: &self.near,
            far: &self.far,
            ejector: &self.ejector,
            needs,
            by_time: self.kind_means.is_some(),
        }
    }

    /// Counts a call as sent to the picked target.
    fn count_sent(&mut self, picked: Pick) -> Pick {
        if let Pick::Target(instance) | Pick::Wait(instance) = picked {
            self.record_sent(instance);
        }
        picked
    }

    /// Returns the shortest delay until a serving target has rate capacity, or
    /// `None` if one has capacity now or none is serving.
    pub fn rate_delay(&self, now: Instant) -> Option<Duration> {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        let shortest = serving.map(|target| target.rate_delay(now)).min();
        shortest.filter(|wait| !wait.is_zero())
    }

    /// Returns the smallest fault share of any serving target.
    fn min_fault_share(&self, now: Instant) -> f64 {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        serving.map(|t| t.fault_share(now)).fold(1.0, f64::min)
    }

    /// Returns whether a target has sent its status recently.
    pub fn has_recent_status(&self, now: Instant, target: Instance) -> bool {
        let mut all = self.targets();
        all.any(|t| t.instance == target && t.has_recent_status(now))
    }

    /// Chooses the least loaded of the targets that have refused a call; the call
    /// may wait there for the server's rate limit.
    pub fn choose_among(&mut self, now: Instant, among: &[Instance]) -> Pick {
        let open = self
            .targets()
            .filter(|t| t.state == TargetState::Serving && among.contains(&t.instance));
        let best = open
            .min_by(|a, b| a.load(now).total_cmp(&b.load(now)))
            .map(|target| target.instance);
        match best {
            Some(instance) => {
                self.record_sent(instance);
                Pick::Wait(instance)
            }
            None => Pick::NoTarget,
        }
    }

    /// Returns whether `target` is not ejected, so that a call may go there now.
    pub fn admits(&self, now: Instant, target: Instance) -> bool {
        self.ejector.admits(now, target)
    }

    /// Counts a call as sent to `instance`. The methods that choose a target do
    /// so themselves; callers use this for the owner of a once key.
    pub fn record_sent(&mut self, instance: Instance) {
        self.ejector.record_sent(instance);
        if let Some(target) = self.find(instance) {
            target.record_sent();
        }
    }

    /// Records the outcome of an attempt.
    pub fn report(&mut self, now: Instant, instance: Instance, report: AttemptReport) {
        let target_count = self.positions.len();
        match report {
            AttemptReport::Responded(_) | AttemptReport::Rejected(_) => {
                self.ejector.record_success(instance)
            }
            AttemptReport::Failed => self.ejector.record_failure(now, instance, target_count),
            AttemptReport::Unreachable => {
                self.ejector.record_unreachable(now, instance, target_count)
            }
            AttemptReport::Abandoned => self.ejector.record_abandoned(now, instance),
        }
        let Some(target) = self.find(instance) else {
            return;
        };
        target.record_end();
        match report {
            AttemptReport::Responded(status) => {
                target.record_status(now, status);
                target.record_rejection(false);
            }
            AttemptReport::Rejected(status) => {
                target.record_status(now, status);
                target.record_rejection(true);
            }
            AttemptReport::Failed | AttemptReport::Unreachable | AttemptReport::Abandoned => {}
        }
    }

    /// Sets whether targets are compared by expected latency.
    pub fn set_by_time(&mut self, by_time: bool) {
        match (by_time, &self.kind_means) {
            (true, None) => self.kind_means = Some(KindMeans::default()),
            (false, Some(_)) => self.kind_means = None,
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Records the time that a call took at its target; one without a successful
    /// answer counts only if it was slow.
    pub fn record_time(
        &mut self,
        now: Instant,
        instance: Instance,
        kind: CallKind,
        call_time: CallTime,
    ) {
        let Some(mut kind_means) = self.kind_means.take() else {
            return;
        };
        if let Some(target) = self.find(instance) {
            let ratio = target.latency_ratio_mut();
            match call_time {
                CallTime::Answered(time) => {
                    let steady_log = ratio.steady_log(now);
                    kind_means.record_answer(now, kind, time, steady_log);
                    if let Some(log_excess) = kind_means.log_excess(kind, time) {
                        ratio.record_answer(now, log_excess);
                    }
                }
                CallTime::Unanswered(time) => {
                    if let Some(log_excess) = kind_means.log_excess(kind, time) {
                        ratio.record_unanswered(now, log_excess);
                    }
                }
            }
        }
        self.kind_means = Some(kind_means);
    }

    /// Returns the latency of a target as a multiple of the mean, if targets are
    /// compared by latency and it has answered.
    pub fn latency_ratio(&self, now: Instant, instance: Instance) -> Option<f64> {
        self.kind_means.as_ref()?;
        let target = self.targets().find(|t| t.instance == instance)?;
        target
            .latency_ratio()
            .is_known()
            .then(|| target.latency_ratio().ratio(now))
    }

    /// Returns what the service demands of calls now, in the own data centre
    /// if it has servers there.
    pub fn demand(&self, now: Instant) -> DemandedLevels {
        let targets = if self.near.is_empty() {
            &self.far
        } else {
            &self.near
        };
        demand(now, targets, false)
    }

    /// Records whether a caller's own call of a class led to further calls.
    pub fn record_own_call(&mut self, rank: ClassRank, onward: bool) {
        self.onward_shares.record(rank, onward);
    }

    /// Returns whether the callers' own calls of a class rarely lead to further
    /// calls.
    pub fn is_single_call(&self, rank: ClassRank) -> bool {
        self.onward_shares.is_rare(rank)
    }

    /// Returns the retry budget of the service.
    pub fn retry_budget(&mut self) -> &mut RetryBudget {
        &mut self.retry_budget
    }

    /// Returns the targets, those of the own data centre first.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.near.iter().chain(&self.far)
    }

    fn find(&mut self, instance: Instance) -> Option<&mut Target> {
        match *self.positions.get(&instance)? {
            Position::Near(n) => self.near.get_mut(n),
            Position::Far(n) => self.far.get_mut(n),
        }
    }
}
