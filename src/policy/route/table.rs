//! The targets of one service, as one entry uses them.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::kind_means::KindMeans;
use super::pick::{CallNeeds, PickInput, demand, pick};
use super::{CallKind, CallTime, Ejector, Pick, Target, TargetState};
use crate::model::{CentreName, ClassRank, Demand, GuardNews, Instance};
use crate::policy::admission::ClassShares;
use crate::policy::retry::RetryBudget;

/// What a call met at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The guard answered or refused, and told of itself.
    Responded(GuardNews),
    /// The guard told of itself, and that its backend server refused the call.
    Rejected(GuardNews),
    /// The connection failed, went silent or gave garbage.
    Failed,
    /// The daemon cannot be reached at all.
    Unreachable,
    /// The caller went away first, which says nothing of the target.
    Abandoned,
}

/// The targets of one service with all that is remembered of them.
#[derive(Debug)]
pub struct Table {
    own_centre: CentreName,
    near: Vec<Target>,
    far: Vec<Target>,
    positions: HashMap<Instance, Position>,
    ejector: Ejector,
    retry_budget: RetryBudget,
    /// Which of the callers' own calls make others.
    onward_shares: ClassShares,
    /// What calls take, where targets are compared by time.
    kind_means: Option<KindMeans>,
}

#[derive(Clone, Copy, Debug)]
enum Position {
    Near(usize),
    Far(usize),
}

impl Table {
    /// Makes an empty table for an entry in the data centre `own`.
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

    /// Makes an empty table whose retries are bounded in another way.
    pub fn with_retry_budget(own_centre: CentreName, retry_budget: RetryBudget) -> Self {
        Self {
            retry_budget,
            ..Self::new(own_centre)
        }
    }

    /// Takes a changed set of targets; what is known of those that stay is
    /// kept.
    pub fn update(&mut self, targets: Vec<Target>) {
        let mut old: HashMap<Instance, Target> = self
            .near
            .drain(..)
            .chain(self.far.drain(..))
            .map(|target| (target.instance, target))
            .collect();
        self.positions.clear();
        for news in targets {
            let target = match old.remove(&news.instance) {
                Some(mut known) => {
                    known.update_from(news);
                    known
                }
                None => news,
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

    /// Chooses a target that is not among those tried before.
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

    /// Counts a call as sent to what was found.
    fn count_sent(&mut self, picked: Pick) -> Pick {
        if let Pick::Target(instance) | Pick::Wait(instance) = picked {
            self.record_sent(instance);
        }
        picked
    }

    /// Returns how long calls wait for the rates that servers named, where none
    /// that serves has room.
    pub fn rate_delay(&self, now: Instant) -> Option<Duration> {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        let min_fault_share = serving.map(|target| target.rate_delay(now)).min();
        min_fault_share.filter(|wait| !wait.is_zero())
    }

    /// Returns the smallest share of calls that any serving target fails by
    /// itself.
    fn min_fault_share(&self, now: Instant) -> f64 {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        serving.map(|t| t.fault_share(now)).fold(1.0, f64::min)
    }

    /// Tells whether a target was heard from just now.
    pub fn has_recent_status(&self, now: Instant, target: Instance) -> bool {
        let mut all = self.targets();
        all.any(|t| t.instance == target && t.has_recent_status(now))
    }

    /// Chooses again among targets that a call has been refused by, the one
    /// with the least load; the call waits there for a rate, if one was named.
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

    /// Tells whether a call may go to `target` now, so far as failures tell.
    pub fn admits(&self, now: Instant, target: Instance) -> bool {
        self.ejector.admits(now, target)
    }

    /// Counts a call as sent to a target that was chosen in another way.
    pub fn record_sent(&mut self, instance: Instance) {
        self.ejector.record_sent(instance);
        if let Some(target) = self.find(instance) {
            target.record_sent();
        }
    }

    /// Takes note of what a call met.
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
            AttemptReport::Responded(news) => {
                target.record_status(now, news);
                target.record_rejection(false);
            }
            AttemptReport::Rejected(news) => {
                target.record_status(now, news);
                target.record_rejection(true);
            }
            AttemptReport::Failed | AttemptReport::Unreachable | AttemptReport::Abandoned => {}
        }
    }

    /// Sets whether targets are compared by time.
    pub fn set_by_time(&mut self, by_time: bool) {
        match (by_time, &self.kind_means) {
            (true, None) => self.kind_means = Some(KindMeans::default()),
            (false, Some(_)) => self.kind_means = None,
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Takes note of the time that a call took at its target; one that ended
    /// without an answer counts only if it was slow.
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

    /// Returns how fast a target answers, where targets are compared by time
    /// and it has answered.
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
    pub fn demand(&self, now: Instant) -> Demand {
        let targets = if self.near.is_empty() {
            &self.far
        } else {
            &self.near
        };
        demand(now, targets, false)
    }

    /// Takes note of whether a caller's own call of a class made others.
    pub fn record_own_call(&mut self, rank: ClassRank, onward: bool) {
        self.onward_shares.record(rank, onward);
    }

    /// Tells whether the callers' own calls of a class need no others.
    pub fn is_single_call(&self, rank: ClassRank) -> bool {
        self.onward_shares.is_rare(rank)
    }

    /// Returns what bounds the retries of the service.
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
