//! The targets of one service, as one entry uses them.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::pick::{Choice, Want, demand, pick};
use super::usual::Usual;
use super::{Ejector, Kind, Pick, Target, TargetState, Took};
use crate::model::{CentreName, ClassRank, Demand, GuardNews, Instance};
use crate::policy::admission::ClassShares;
use crate::policy::retry::RetryBudget;

/// What a call met at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// The guard answered or refused, and told of itself.
    Heard(GuardNews),
    /// The guard told of itself, and that its backend server refused the call.
    Rejected(GuardNews),
    /// The connection failed, went silent or gave garbage.
    Failed,
    /// The daemon cannot be reached at all.
    Silent,
    /// The caller went away first, which says nothing of the target.
    Abandoned,
}

/// The targets of one service with all that is remembered of them.
#[derive(Debug)]
pub struct Table {
    own: CentreName,
    near: Vec<Target>,
    far: Vec<Target>,
    places: HashMap<Instance, Place>,
    ejector: Ejector,
    retries: RetryBudget,
    /// Which of the callers' own calls make others.
    onward: ClassShares,
    /// What calls take, where targets are compared by time.
    usual: Option<Usual>,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Near(usize),
    Far(usize),
}

impl Table {
    /// Makes an empty table for an entry in the data centre `own`.
    pub fn new(own: CentreName) -> Self {
        Self {
            own,
            near: Vec::new(),
            far: Vec::new(),
            places: HashMap::new(),
            ejector: Ejector::default(),
            retries: RetryBudget::default(),
            onward: ClassShares::default(),
            usual: None,
        }
    }

    /// Makes an empty table whose retries are bounded in another way.
    pub fn with_retries(own: CentreName, retries: RetryBudget) -> Self {
        Self {
            retries,
            ..Self::new(own)
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
        self.places.clear();
        for news in targets {
            let target = match old.remove(&news.instance) {
                Some(mut known) => {
                    known.renew(news);
                    known
                }
                None => news,
            };
            self.insert(target);
        }
        let places = &self.places;
        self.ejector
            .retain(|instance| places.contains_key(instance));
    }

    fn insert(&mut self, target: Target) {
        let instance = target.instance;
        let place = if target.centre == self.own {
            self.near.push(target);
            Place::Near(self.near.len() - 1)
        } else {
            self.far.push(target);
            Place::Far(self.far.len() - 1)
        };
        self.places.insert(instance, place);
    }

    /// Chooses a target for a call and counts the call as sent.
    pub fn choose<R: Rng>(&mut self, now: Instant, want: Want, rng: &mut R) -> Pick {
        self.choose_except(now, want, &[], rng)
    }

    /// Chooses a target that is not among those tried before.
    pub fn choose_except<R: Rng>(
        &mut self,
        now: Instant,
        want: Want,
        tried: &[Instance],
        rng: &mut R,
    ) -> Pick {
        let found = pick(now, self.choice(now, want, tried), rng);
        self.count(found)
    }

    fn choice<'a>(&'a self, now: Instant, want: Want, tried: &'a [Instance]) -> Choice<'a> {
        Choice {
            least: self.least_faults(now),
            tried,
            near: &self.near,
            far: &self.far,
            ejector: &self.ejector,
            want,
            by_time: self.usual.is_some(),
        }
    }

    /// Counts a call as sent to what was found.
    fn count(&mut self, found: Pick) -> Pick {
        if let Pick::Target(instance) | Pick::Wait(instance) = found {
            self.sent(instance);
        }
        found
    }

    /// Returns how long calls wait for the rates that servers named, where none
    /// that serves has room.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        let least = serving.map(|target| target.wait(now)).min();
        least.filter(|wait| !wait.is_zero())
    }

    /// Returns the smallest share of calls that any serving target fails by
    /// itself.
    fn least_faults(&self, now: Instant) -> f64 {
        let serving = self.targets().filter(|t| t.state == TargetState::Serving);
        serving.map(|t| t.faults(now)).fold(1.0, f64::min)
    }

    /// Tells whether a target was heard from just now.
    pub fn is_fresh(&self, now: Instant, target: Instance) -> bool {
        let mut all = self.targets();
        all.any(|t| t.instance == target && t.is_fresh(now))
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
                self.sent(instance);
                Pick::Wait(instance)
            }
            None => Pick::Nothing,
        }
    }

    /// Tells whether a call may go to `target` now, so far as failures tell.
    pub fn admits(&self, now: Instant, target: Instance) -> bool {
        self.ejector.admits(now, target)
    }

    /// Counts a call as sent to a target that was chosen in another way.
    pub fn sent(&mut self, instance: Instance) {
        self.ejector.sent(instance);
        if let Some(target) = self.find(instance) {
            target.sent();
        }
    }

    /// Takes note of what a call met.
    pub fn report(&mut self, now: Instant, instance: Instance, report: Report) {
        let known = self.places.len();
        match report {
            Report::Heard(_) | Report::Rejected(_) => self.ejector.succeeded(instance),
            Report::Failed => self.ejector.failed(now, instance, known),
            Report::Silent => self.ejector.silent(now, instance, known),
            Report::Abandoned => self.ejector.abandoned(now, instance),
        }
        let Some(target) = self.find(instance) else {
            return;
        };
        target.ended();
        match report {
            Report::Heard(news) => {
                target.hear(now, news);
                target.rejected(false);
            }
            Report::Rejected(news) => {
                target.hear(now, news);
                target.rejected(true);
            }
            Report::Failed | Report::Silent | Report::Abandoned => {}
        }
    }

    /// Sets whether targets are compared by time.
    pub fn set_by_time(&mut self, by_time: bool) {
        match (by_time, &self.usual) {
            (true, None) => self.usual = Some(Usual::default()),
            (false, Some(_)) => self.usual = None,
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Takes note of the time that a call took at its target; one that ended
    /// without an answer counts only if it was slow.
    pub fn took(&mut self, now: Instant, instance: Instance, kind: Kind, took: Took) {
        let Some(mut usual) = self.usual.take() else {
            return;
        };
        if let Some(target) = self.find(instance) {
            let pace = target.pace_mut();
            match took {
                Took::Answered(time) => {
                    let own = pace.own(now);
                    usual.answered(now, kind, time, own);
                    if let Some(excess) = usual.excess(kind, time) {
                        pace.answered(now, excess);
                    }
                }
                Took::GivenUp(time) => {
                    if let Some(excess) = usual.excess(kind, time) {
                        pace.given_up(now, excess);
                    }
                }
            }
        }
        self.usual = Some(usual);
    }

    /// Returns how fast a target answers, where targets are compared by time
    /// and it has answered.
    pub fn pace(&self, now: Instant, instance: Instance) -> Option<f64> {
        self.usual.as_ref()?;
        let target = self.targets().find(|t| t.instance == instance)?;
        target.pace().is_known().then(|| target.pace().ratio(now))
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
    pub fn own_call(&mut self, rank: ClassRank, onward: bool) {
        self.onward.record(rank, onward);
    }

    /// Tells whether the callers' own calls of a class need no others.
    pub fn is_single(&self, rank: ClassRank) -> bool {
        self.onward.is_rare(rank)
    }

    /// Returns what bounds the retries of the service.
    pub fn retries(&mut self) -> &mut RetryBudget {
        &mut self.retries
    }

    /// Returns the targets, those of the own data centre first.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.near.iter().chain(&self.far)
    }

    fn find(&mut self, instance: Instance) -> Option<&mut Target> {
        match *self.places.get(&instance)? {
            Place::Near(n) => self.near.get_mut(n),
            Place::Far(n) => self.far.get_mut(n),
        }
    }
}
