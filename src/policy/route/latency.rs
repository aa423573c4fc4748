//! Choice of a target by expected latency.
//!
//! Servers of one service differ in speed two- to threefold, some slow down for
//! half a second, and callers give up soon after the mean time of an answer. Most
//! servers are nearly idle, so nearly all calls can be answered by fast ones.

use rand::Rng;
use tokio::time::Instant;

use super::Target;
use super::pick::{PickInput, draw, spill as spill_by_load};

/// Most targets that are compared while they have little load. With a third of
/// the servers fast, five include a fast one seven times in eight.
const MAX_COMPARED: usize = 5;
/// Load above which only two are compared, since reported loads are out of date.
const BUSY_LOAD: f64 = 0.25;
/// Load of a server without a free slot.
const SATURATED_LOAD: f64 = 1.0;

/// Factor by which an answer from the own data centre must be expected to take
/// longer before a call goes to another one, since traffic between them is
/// expensive.
const SPILL_LATENCY_RATIO: f64 = 1.5;

/// Returns whether a target is expected to be slow enough that other data centres
/// are considered.
pub(super) fn is_slow(now: Instant, near: &Target) -> bool {
    near.expected_latency(now) >= SPILL_LATENCY_RATIO
}

/// Prefers the far target if the near one is full while the far one has capacity,
/// or if the far one is clearly faster, network time included.
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

/// Returns the best of a random sample of targets: two, or more while they have
/// little load; if the best has no free slot, any target that has one.
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

/// Returns the target with the lower expected latency; a full one only if both
/// are full, and then the less loaded one.
fn better_of<'a>(now: Instant, one: &'a Target, other: &'a Target) -> &'a Target {
    let is_other = match (one.is_full(now), other.is_full(now)) {
        (true, true) => other.load(now) < one.load(now),
        (false, false) => other.expected_latency(now) < one.expected_latency(now),
        (one_full, _) => one_full,
    };
    if is_other { other } else { one }
}

/// Returns the first target with a free slot, from a random position on.
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
