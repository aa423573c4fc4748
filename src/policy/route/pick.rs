//! The choice between targets.

use rand::Rng;
use tokio::time::Instant;

use super::{Ejector, Target, TargetState};
use crate::model::{Instance, Level};

/// Load of the own data centre above which others are considered.
const SPILL_LOAD: f64 = 0.9;
/// Random draws before all targets are looked through.
const DRAWS: usize = 4;

/// What came of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send the call there.
    Target(Instance),
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
    /// Which targets are out.
    pub(super) ejector: &'a Ejector,
    /// The call that a target is wanted for.
    pub(super) want: Want,
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

impl Want {
    /// Tells whether `target` is not known to refuse the call.
    fn is_taken_by(&self, now: Instant, target: &Target) -> bool {
        self.level >= target.level(now, self.protected)
    }
}

/// Chooses a target for a call: the better of two random ones of
/// the own data centre; of others if the own one has too much work or none.
pub(super) fn pick<R: Rng>(now: Instant, choice: Choice<'_>, rng: &mut R) -> Pick {
    let want = choice.want;
    let near = best_of_two(now, choice, choice.near, rng);
    if let Some(target) = near
        && target.load(now) < SPILL_LOAD
        && want.is_taken_by(now, target)
    {
        return Pick::Target(target.instance);
    }
    let far = best_of_two(now, choice, choice.far, rng);
    let found = match (near, far) {
        (Some(near), Some(far)) => Some(spill(now, want, near, far)),
        (near, far) => near.or(far),
    };
    match found {
        Some(target) if !want.is_taken_by(now, target) => {
            Pick::Refused(target.level(now, want.protected))
        }
        Some(target) => Pick::Target(target.instance),
        None => Pick::Nothing,
    }
}

/// Prefers the far target only if the near one would refuse, or is full while
/// the far one has room to spare.
fn spill<'a>(now: Instant, want: Want, near: &'a Target, far: &'a Target) -> &'a Target {
    let near_takes = want.is_taken_by(now, near);
    let far_takes = want.is_taken_by(now, far);
    let far_better = match (near_takes, far_takes) {
        (true, false) => false,
        (false, true) => true,
        (false, false) => far.level(now, want.protected) < near.level(now, want.protected),
        (true, true) => far.load(now) < SPILL_LOAD && far.load(now) < near.load(now),
    };
    if far_better { far } else { near }
}

fn best_of_two<'a, R: Rng>(
    now: Instant,
    choice: Choice<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    let first = draw(now, choice, targets, rng)?;
    let second = draw(now, choice, targets, rng)?;
    let key = |t: &Target| (t.level(now, choice.want.protected), t.load(now));
    Some(if key(second) < key(first) {
        second
    } else {
        first
    })
}

/// Draws a usable target at random; if none is in order, one that serves.
fn draw<'a, R: Rng>(
    now: Instant,
    choice: Choice<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    if targets.is_empty() {
        return None;
    }
    let sound = |target: &Target| {
        target.state == TargetState::Serving
            && choice.want.avoid != Some(target.instance)
            && choice.ejector.admits(now, target.instance)
    };
    let mut start = 0;
    for _ in 0..DRAWS {
        start = rng.random_range(0..targets.len());
        if sound(&targets[start]) {
            return Some(&targets[start]);
        }
    }
    let (before, after) = targets.split_at(start);
    let mut around = after.iter().chain(before);
    around
        .clone()
        .find(|target| sound(target))
        .or_else(|| around.find(|target| target.state == TargetState::Serving))
}
