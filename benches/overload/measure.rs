//! Figures of one run.

use std::fmt;

use serde::Serialize;

use crate::scenario::{AFTER, LENGTH, START, Scenario};
use crate::variant::Variant;
use crate::world::World;

/// Length of the windows in which goodput is compared, in seconds.
const WINDOW: f64 = 0.2;
/// Share of the demand answered whole that counts as back to normal.
const NORMAL: f64 = 0.95;

#[derive(Serialize)]
pub(crate) struct Line {
    pub(crate) scenario: &'static str,
    pub(crate) variant: &'static str,
    /// Whole requests a second during the disturbance.
    goodput: f64,
    /// What perfect knowledge would have completed on the bottleneck.
    limit: f64,
    ratio: f64,
    recovery_s: f64,
    /// Work done for requests that were not answered whole, as a share.
    wasted_ratio: f64,
    retries_max: u32,
    important_shed_early: u64,
    /// Whole requests a second, by window of `WINDOW` seconds.
    pub(crate) curve: Vec<f64>,
}

impl Line {
    pub(crate) const HEADER: &'static str = "scenario variant        goodput    limit  ratio recovery_s wasted_ratio retries_max important_shed_early";
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<8} {:<13} {:>8.1} {:>8.1} {:>6.3} {:>10.2} {:>12.4} {:>11} {:>20}",
            self.scenario,
            self.variant,
            self.goodput,
            self.limit,
            self.ratio,
            self.recovery_s,
            self.wasted_ratio,
            self.retries_max,
            self.important_shed_early
        )
    }
}

pub(crate) fn measure(scenario: &Scenario, variant: Variant, world: &World) -> Line {
    let end = START + LENGTH;
    let whole = world
        .whole
        .iter()
        .filter(|t| (START..end).contains(*t))
        .count() as f64;
    let goodput = whole / LENGTH;
    let limit = limit(scenario, world);
    Line {
        scenario: scenario.name,
        variant: variant.name,
        goodput,
        limit,
        ratio: goodput / limit,
        recovery_s: recovery(world, end),
        wasted_ratio: world.wasted_ms() / world.worked_ms.max(1e-9),
        retries_max: world.retries_max(),
        important_shed_early: world.shed_early,
        curve: curve(&world.whole),
    }
}

/// The lesser of demand and the capacity of the bottleneck.
fn limit(scenario: &Scenario, world: &World) -> f64 {
    let demand = scenario.rate * scenario.disturb.demand;
    demand.min(world.bottleneck_capacity())
}

fn curve(whole: &[f64]) -> Vec<f64> {
    let count = ((START + LENGTH + AFTER) / WINDOW) as usize;
    let mut curve = vec![0.0; count];
    for time in whole {
        if let Some(window) = curve.get_mut((time / WINDOW) as usize) {
            *window += 1.0 / WINDOW;
        }
    }
    curve
}

/// Time from `end` until, for good, the requests sent in a window are answered
/// whole as usual.
fn recovery(world: &World, end: f64) -> f64 {
    let count = ((AFTER - 1.5) / WINDOW) as usize;
    let mut sent = vec![0u32; count];
    let mut whole = vec![0u32; count];
    for (time, answered) in world.asked.iter().filter(|(time, _)| *time >= end) {
        let window = ((time - end) / WINDOW) as usize;
        if window < count {
            sent[window] += 1;
            whole[window] += u32::from(*answered);
        }
    }
    let normal = |w: &usize| f64::from(whole[*w]) >= f64::from(sent[*w]) * NORMAL;
    let last = (0..count).rev().find(|w| !normal(w));
    last.map_or(0.0, |w| (w + 1) as f64 * WINDOW)
}
