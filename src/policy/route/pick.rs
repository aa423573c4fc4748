//! Choice of a target for a call.

use rand::Rng;
use tokio::time::Instant;

use super::{Ejector, Target, TargetState, latency};
use crate::model::{DemandedLevels, Instance, Level, RankSet};

/// Load of the own data centre from which others are considered.
const SPILL_LOAD: f64 = 0.9;
/// Most targets whose demanded levels are averaged.
const DEMAND_SAMPLE_SIZE: usize = 8;
/// Random draws before all targets are searched in turn.
const MAX_RANDOM_DRAWS: usize = 4;

/// Result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send the call to this target.
    Target(Instance),
    /// No server has capacity within its rate limit; the call may wait at this
    /// one, which is the first to have some.
    Wait(Instance),
    /// The call's level is too low; the targets demand this one.
    Refused(Level),
    /// No target can be reached.
    NoTarget,
}

/// Inputs of a choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct PickInput<'a> {
    /// Targets in the entry's own data centre.
    pub(super) near: &'a [Target],
    /// Targets in other data centres.
    pub(super) far: &'a [Target],
    /// Targets that must not be chosen again.
    pub(super) exclude: &'a [Instance],
    /// Smallest fault share of any serving target.
    pub(super) min_fault_share: f64,
    /// Tracks which targets are ejected.
    pub(super) ejector: &'a Ejector,
    /// The call that needs a target.
    pub(super) needs: CallNeeds,
    /// Whether targets are compared by expected latency instead of load.
    pub(super) by_time: bool,
}

impl PickInput<'_> {
    fn is_candidate(&self, target: &Target) -> bool {
        target.state == TargetState::Serving && !self.exclude.contains(&target.instance)
    }

    /// Returns whether a target is fit for the call, apart from its rate limit.
    fn is_healthy(&self, now: Instant, target: &Target) -> bool {
        self.is_candidate(target)
            && self.needs.avoid != Some(target.instance)
            && self.ejector.admits(now, target.instance)
            && !target.is_faulty(now, self.min_fault_share)
    }

    pub(super) fn is_usable(&self, now: Instant, target: &Target) -> bool {
        self.is_healthy(now, target) && target.has_rate_capacity(now)
    }
}

/// Requirements that a call has of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNeeds {
    /// Admission level of the call.
    pub level: Level,
    /// Whether its class is protected.
    pub protected: bool,
    /// Target at which the call has failed.
    pub avoid: Option<Instance>,
}

/// Returns what a set of targets demands of calls: the mean of some that have a
/// fresh level, or of a sample of all serving ones if none has.
///
/// The mean rather than the minimum keeps entries from sending all calls to the
/// one guard that happens to demand least. Targets without a fresh level are left
/// out: with many VMs an entry gets answers from only a few of its targets at any
/// moment, and counting the others as open would admit several times what can be
/// served.
pub(super) fn demand(now: Instant, targets: &[Target], protected: bool) -> DemandedLevels {
    let serving = || targets.iter().filter(|t| t.state == TargetState::Serving);
    let fresh = serving().filter(|target| target.has_fresh_level(now));
    mean_demand(now, fresh, protected).unwrap_or_else(|| {
        let step = targets.len().div_ceil(DEMAND_SAMPLE_SIZE).max(1);
        mean_demand(now, serving().step_by(step), protected).unwrap_or_default()
    })
}

/// Chooses the target that is the first to have rate capacity, among healthy ones
/// that have none now.
fn soonest_available(now: Instant, input: PickInput<'_>) -> Option<Pick> {
    let all = || input.near.iter().chain(input.far);
    let limited = || all().filter(|t| input.is_healthy(now, t) && !t.has_rate_capacity(now));
    let first = limited().min_by_key(|target| target.rate_delay(now))?;
    let demand = mean_demand(now, limited(), input.needs.protected)?;
    let level = demand.of(input.needs.level.rank());
    if input.needs.level < level {
        return Some(Pick::Refused(level));
    }
    Some(Pick::Wait(first.instance))
}

/// Returns the mean demand of some targets, or `None` without targets.
fn mean_demand<'t>(
    now: Instant,
    targets: impl Iterator<Item = &'t Target>,
    protected: bool,
) -> Option<DemandedLevels> {
    let mut level = 0;
    let mut below = 0;
    let mut classes = RankSet::default();
    let mut count = 0;
    for target in targets.take(DEMAND_SAMPLE_SIZE) {
        let demand = target.demand(now, protected);
        level += u32::from(demand.level.get());
        below += u32::from(demand.downstream.get());
        classes = classes.union(demand.downstream_classes);
        count += 1;
    }
    Some(DemandedLevels {
        level: Level::from_raw(level.checked_div(count)?),
        downstream: Level::from_raw(below.checked_div(count)?),
        downstream_classes: classes,
    })
}

/// Chooses a target for a call: the best of a random sample in the own data
/// centre, or one elsewhere if the own data centre is busy, slow or has none.
pub(super) fn pick<R: Rng>(now: Instant, input: PickInput<'_>, rng: &mut R) -> Pick {
    let needs = input.needs;
    let near = best(now, input, input.near, rng);
    let demanded = |targets| demand(now, targets, needs.protected).of(needs.level.rank());
    let near_level = near.map(|_| demanded(input.near));
    let near_admits = near_level.is_some_and(|level| needs.level >= level);
    if let Some(target) = near
        && near_admits
        && target.load(now) < SPILL_LOAD
        && !(input.by_time && latency::is_slow(now, target))
    {
        return Pick::Target(target.instance);
    }
    let far = best(now, input, input.far, rng);
    let far_level = far.map(|_| demanded(input.far));
    let far_admits = far_level.is_some_and(|level| needs.level >= level);
    let near = near.filter(|_| near_admits);
    let far = far.filter(|_| far_admits);
    match (near, far) {
        (Some(near), Some(far)) if input.by_time => {
            Pick::Target(latency::spill(now, near, far).instance)
        }
        (Some(near), Some(far)) => Pick::Target(spill(now, near, far).instance),
        (Some(target), None) | (None, Some(target)) => Pick::Target(target.instance),
        (None, None) => match near_level.into_iter().chain(far_level).min() {
            Some(level) => Pick::Refused(level),
            None => soonest_available(now, input).unwrap_or_else(|| last_resort(input, rng)),
        },
    }
}

/// Prefers the far target only if it has capacity to spare and less load than the
/// near one.
pub(super) fn spill<'a>(now: Instant, near: &'a Target, far: &'a Target) -> &'a Target {
    let far_load = far.load(now);
    if far_load < SPILL_LOAD && far_load < near.load(now) {
        far
    } else {
        near
    }
}

/// Returns the best of a random sample of targets.
fn best<'a, R: Rng>(
    now: Instant,
    input: PickInput<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    if input.by_time {
        latency::best(now, input, targets, rng)
    } else {
        best_of_two(now, input, targets, rng)
    }
}

fn best_of_two<'a, R: Rng>(
    now: Instant,
    input: PickInput<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    let first = draw(now, input, targets, rng)?;
    let second = draw(now, input, targets, rng)?;
    Some(if second.load(now) < first.load(now) {
        second
    } else {
        first
    })
}

/// Draws a usable target at random.
pub(super) fn draw<'a, R: Rng>(
    now: Instant,
    input: PickInput<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    if targets.is_empty() {
        return None;
    }
    let mut start = 0;
    for _ in 0..MAX_RANDOM_DRAWS {
        start = rng.random_range(0..targets.len());
        if input.is_usable(now, &targets[start]) {
            return Some(&targets[start]);
        }
    }
    let (before, after) = targets.split_at(start);
    let mut around = after.iter().chain(before);
    around.find(|target| input.is_usable(now, target))
}

/// Chooses any serving target, for use where none is healthy.
fn last_resort<R: Rng>(input: PickInput<'_>, rng: &mut R) -> Pick {
    let all = || input.near.iter().chain(input.far);
    let open = || all().filter(|target| input.is_candidate(target));
    match open().count() {
        0 => Pick::NoTarget,
        count => match open().nth(rng.random_range(0..count)) {
            Some(target) => Pick::Target(target.instance),
            None => Pick::NoTarget,
        },
    }
}
