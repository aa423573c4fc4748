//! The choice between targets by the time that an answer takes there.
//!
//! Load pattern: servers of one service differ in speed two- to threefold,
//! some turn slow for half a second, and callers give up soon after what an
//! answer takes in the mean. Most servers stand nearly idle, so that nearly
//! all calls could be answered by fast ones.

use rand::Rng;
use tokio::time::Instant;

use super::Target;
use super::pick::{PickInput, draw, spill as spill_by_load};

/// Targets that are compared where they have little to do: with a third of
/// them fast, a fast one is among them seven times in eight.
const MAX_COMPARED: usize = 5;
/// Load above which two are compared, since what was heard of load is older
/// than the load.
const BUSY_LOAD: f64 = 0.25;
/// Load of a server that has no slot free.
const SATURATED_LOAD: f64 = 1.0;

/// How many times as long an answer of the own data centre must be expected to
/// take for a call to go to another one, since bytes between them are dear.
const SPILL_LATENCY_RATIO: f64 = 1.5;

/// Tells whether an answer of a target is expected to take long enough that
/// other data centres are looked at.
pub(super) fn is_slow(now: Instant, near: &Target) -> bool {
    near.expected_latency(now) >= SPILL_LATENCY_RATIO
}

/// Prefers the far target if the near one is full while the far one has room,
/// or if the far one, its way included, answers in clearly less time.
pub(super) fn spill<'a>(now: Instant, near: &'a Target, far: &'a Target) -> &'a Target {
    if near.is_full(now) {
        return spill_by_load(now, near, far);
    }
    let is_faster = near.expected_latency(now) >= far.expected_latency(now) * SPILL_LATENCY_RATIO;
    if is_faster && !far.is_full(now) {
        far
    } else {
        near
    }
}

/// Returns the best of some random targets: two, or more where they have
/// little to do; where those have no slot free, any that has.
pub(super) fn best<'a, R: Rng>(
    now: Instant,
    input: PickInput<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    let mut best = draw(now, input, targets, rng)?;
    for drawn in 1..MAX_COMPARED {
        if drawn > 1 && best.load(now) >= BUSY_LOAD {
            break;
        }
        best = better_of(now, best, draw(now, input, targets, rng)?);
    }
    if best.load(now) < SATURATED_LOAD {
        return Some(best);
    }
    Some(with_free_slot(now, input, targets, rng).unwrap_or(best))
}

/// Returns the target that answers sooner; a full one only where both are, and
/// then the one with less load.
fn better_of<'a>(now: Instant, one: &'a Target, other: &'a Target) -> &'a Target {
    let is_other = match (one.is_full(now), other.is_full(now)) {
        (true, true) => other.load(now) < one.load(now),
        (false, false) => other.expected_latency(now) < one.expected_latency(now),
        (one_full, _) => one_full,
    };
    if is_other { other } else { one }
}

/// Returns the first target with a slot free from a random place on.
fn with_free_slot<'a, R: Rng>(
    now: Instant,
    input: PickInput<'_>,
    targets: &'a [Target],
    rng: &mut R,
) -> Option<&'a Target> {
    let (before, after) = targets.split_at(rng.random_range(0..targets.len()));
    let mut around = after.iter().chain(before);
    around.find(|target| target.load(now) < SATURATED_LOAD && input.is_usable(now, target))
}
