//! The choice between targets.

use rand::Rng;
use tokio::time::Instant;

use super::{Ejector, Target, TargetState, timed};
use crate::model::{Demand, Instance, Level, RankSet};

/// Load of the own data centre above which others are considered.
const SPILL_LOAD: f64 = 0.9;
/// Targets whose levels are looked at.
const SAMPLE: usize = 8;
/// Random draws before all targets are looked through.
const DRAWS: usize = 4;

/// What came of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send the call there.
    Target(Instance),
    /// No server has room below the rate that it named; the call may wait there,
    /// where there is some first.
    Wait(Instance),
    /// Every target is known to refuse work of this level.
    Refused(Level),
    /// There is no target that can be reached.
    Nothing,
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<'a> {
    /// The targets in the entry's own data centre.
    pub(super) near: &'a [Target],
    /// The targets in other data centres.
    pub(super) far: &'a [Target],
    /// Targets that are not to be chosen again.
    pub(super) tried: &'a [Instance],
    /// The smallest share of calls that any target fails by itself.
    pub(super) least: f64,
    /// Which targets are out.
    pub(super) ejector: &'a Ejector,
    /// The call that a target is wanted for.
    pub(super) want: Want,
    /// Whether targets are compared by time.
    pub(super) by_time: bool,
}

impl Choice<'_> {
    fn is_open(&self, target: &Target) -> bool {
        target.state == TargetState::Serving && !self.tried.contains(&target.instance)
    }

    /// Tells whether a target is in order, whether or not it has room.
    fn is_in_order(&self, now: Instant, target: &Target) -> bool {
        self.is_open(target)
            && self.want.avoid != Some(target.instance)
            && self.ejector.admits(now, target.instance)
            && !target.is_faulty(now, self.least)
    }

    pub(super) fn is_sound(&self, now: Instant, target: &Target) -> bool {
        self.is_in_order(now, target) && target.has_room(now)
    }
}

/// The call that a target is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Want {
    /// Its admission level.
    pub level: Level,
    /// Whether its class is protected.
    pub protected: bool,
    /// A target that it has failed at.
    pub avoid: Option<Instance>,
}

/// Returns what a set of targets demands of calls: the mean of some of those
/// that were heard from just now, or of what is left of older news.
///
/// The mean, rather than the least, keeps entries from sending all at the one
/// guard that happens to demand least. Silent targets have no part in it: in an
/// estate of many VMs an entry hears from few of its targets in any moment, and
/// counting the others as open lets in several times what can be served.
pub(super) fn demand(now: Instant, targets: &[Target], protected: bool) -> Demand {
    let serving = || targets.iter().filter(|t| t.state == TargetState::Serving);
    let fresh = serving().filter(|target| target.is_level_fresh(now));
    mean(now, fresh, protected).unwrap_or_else(|| {
        let step = targets.len().div_ceil(SAMPLE).max(1);
        mean(now, serving().step_by(step), protected).unwrap_or_default()
    })
}

/// Chooses the target that has room first of those whose servers have named a
/// rate and have none now, if there are any.
fn first_room(now: Instant, choice: Choice<'_>) -> Option<Pick> {
    let all = || choice.near.iter().chain(choice.far);
    let full = || all().filter(|t| choice.is_in_order(now, t) && !t.has_room(now));
    let first = full().min_by_key(|target| target.wait(now))?;
    let demand = mean(now, full(), choice.want.protected)?;
    let level = demand.of(choice.want.level.rank());
    if choice.want.level < level {
        return Some(Pick::Refused(level));
    }
    Some(Pick::Wait(first.instance))
}

/// Returns the mean of what some targets demand, if there are any.
fn mean<'t>(
    now: Instant,
    targets: impl Iterator<Item = &'t Target>,
    protected: bool,
) -> Option<Demand> {
    let mut level = 0;
    let mut below = 0;
    let mut classes = RankSet::default();
    let mut count = 0;
    for target in targets.take(SAMPLE) {
        let demand = target.demand(now, protected);
        level += u32::from(demand.level.get());
        below += u32::from(demand.below.get());
        classes = classes.either(demand.classes);
        count += 1;
    }
    Some(Demand {
        level: Level::from_raw(level.checked_div(count)?),
        below: Level::from_raw(below.checked_div(count)?),
        classes,
    })
}

/// Chooses a target for a call: the better of two random ones of the own data
/// centre; of others if the own one has too much work or none.
pub(super) fn pick<R: Rng>(now: Instant, choice: Choice<'_>, rng: &mut R) -> Pick {
    let want = choice.want;
    let near = best(now, choice, choice.near, rng);
    let demanded = |targets| demand(now, targets, want.protected).of(want.level.rank());
    let near_demands = near.map(|_| demanded(choice.near));
    let near_takes = near_demands.is_some_and(|level| want.level >= level);
    if let Some(target) = near
        && near_takes
        && target.load(now) < SPILL_LOAD
        && !(choice.by_time && timed::is_slow(now, target))
    {
        return Pick::Target(target.instance);
    }
    let far = best(now, choice, choice.far, rng);
    let far_demands = far.map(|_| demanded(choice.far));
    let far_takes = far_demands.is_some_and(|level| want.level >= level);
    let near = near.filter(|_| near_takes);
    let far = far.filter(|_| far_takes);
    match (near, far) {
        (Some(near), Some(far)) if choice.by_time => {
            Pick::Target(timed::spill(now, near, far).instance)
        }
        (Some(near), Some(far)) => Pick::Target(spill(now, near, far).instance),
        (Some(target), None) | (None, Some(target)) => Pick::Target(target.instance),
        (None, None) => match near_demands.into_iter().chain(far_demands).min() {
            Some(level) => Pick::Refused(level),
            None => first_room(now, choice).unwrap_or_else(|| last_resort(choice, rng)),
        },
    }
}

/// Prefers the far target only if the near one is full while the far one has
/// room to spare.
pub(super) fn spill<'a>(now: Instant, near: &'a Target, far: &'a Target) -> &'a Target {
    let far_load = far.load(now);
    if far_load < SPILL_LOAD && far_load < near.load(now) {
        far
    } else {
        near
    }
}

/// Returns the best of some random targets.
fn best<'a, R: Rng>(
    now: Instant,
    choice: Choice<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    if choice.by_time {
        timed::best(now, choice, targets, rng)
    } else {
        best_of_two(now, choice, targets, rng)
    }
}

fn best_of_two<'a, R: Rng>(
    now: Instant,
    choice: Choice<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    let first = draw(now, choice, targets, rng)?;
    let second = draw(now, choice, targets, rng)?;
    Some(if second.load(now) < first.load(now) {
        second
    } else {
        first
    })
}

/// Draws a usable target at random.
pub(super) fn draw<'a, R: Rng>(
    now: Instant,
    choice: Choice<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    if targets.is_empty() {
        return None;
    }
    let mut start = 0;
    for _ in 0..DRAWS {
        start = rng.random_range(0..targets.len());
        if choice.is_sound(now, &targets[start]) {
            return Some(&targets[start]);
        }
    }
    let (before, after) = targets.split_at(start);
    let mut around = after.iter().chain(before);
    around.find(|target| choice.is_sound(now, target))
}

/// Chooses any target that serves, where none is in order.
fn last_resort<R: Rng>(choice: Choice<'_>, rng: &mut R) -> Pick {
    let all = || choice.near.iter().chain(choice.far);
    let open = || all().filter(|target| choice.is_open(target));
    match open().count() {
        0 => Pick::Nothing,
        count => match open().nth(rng.random_range(0..count)) {
            Some(target) => Pick::Target(target.instance),
            None => Pick::Nothing,
        },
    }
}
