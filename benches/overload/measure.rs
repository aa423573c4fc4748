//! Results of one run.

use std::fmt;

use serde::Serialize;

use crate::scenario::{AFTER_SECONDS, DISTURBANCE_SECONDS, START_SECONDS, Scenario};
use crate::variant::Variant;
use crate::world::World;

/// Length of the windows in which goodput is compared, in seconds.
const WINDOW_SECONDS: f64 = 0.2;
/// Share of requests with a complete answer from which a window counts as recovered.
const MIN_RECOVERED_SHARE: f64 = 0.95;

#[derive(Serialize)]
pub(crate) struct RunSummary {
    pub(crate) scenario: &'static str,
    pub(crate) variant: &'static str,
    /// Completed requests per second during the disturbance.
    goodput: f64,
    /// Requests per second that ideal scheduling would complete at the bottleneck.
    limit: f64,
    ratio: f64,
    recovery_s: f64,
    /// Share of work done for requests without a complete answer.
    wasted_ratio: f64,
    retries_max: u32,
    important_shed_early: u64,
    /// Completed requests per second, by window of `WINDOW_SECONDS`.
    pub(crate) curve: Vec<f64>,
}

impl RunSummary {
    pub(crate) const HEADER: &'static str = "scenario variant        goodput    limit  ratio recovery_s wasted_ratio retries_max important_shed_early";
}

impl fmt::Display for RunSummary {
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

pub(crate) fn summarize(scenario: &Scenario, variant: Variant, world: &World) -> RunSummary {
    let end = START_SECONDS + DISTURBANCE_SECONDS;
    let complete = world
        .completions
        .iter()
        .filter(|t| (START_SECONDS..end).contains(*t))
        .count() as f64;
    let goodput = complete / DISTURBANCE_SECONDS;
    let limit = max_goodput(scenario, world);
    RunSummary {
        scenario: scenario.name,
        variant: variant.name,
        goodput,
        limit,
        ratio: goodput / limit,
        recovery_s: recovery_seconds(world, end),
        wasted_ratio: world.wasted_ms() / world.total_work_ms.max(1e-9),
        retries_max: world.retries_max(),
        important_shed_early: world.shed_early,
        curve: goodput_curve(&world.completions),
    }
}

/// Returns the lesser of demand and bottleneck capacity, in requests per second.
fn max_goodput(scenario: &Scenario, world: &World) -> f64 {
    let demand = scenario.rate * scenario.disturbance.demand_factor;
    demand.min(world.bottleneck_capacity())
}

/// Returns completed requests per second, by window.
fn goodput_curve(completions: &[f64]) -> Vec<f64> {
    let count = ((START_SECONDS + DISTURBANCE_SECONDS + AFTER_SECONDS) / WINDOW_SECONDS) as usize;
    let mut curve = vec![0.0; count];
    for time in completions {
        if let Some(window) = curve.get_mut((time / WINDOW_SECONDS) as usize) {
            *window += 1.0 / WINDOW_SECONDS;
        }
    }
    curve
}

/// Returns the seconds from `end` until all later windows count as recovered.
fn recovery_seconds(world: &World, end: f64) -> f64 {
    let count = ((AFTER_SECONDS - 1.5) / WINDOW_SECONDS) as usize;
    let mut sent = vec![0u32; count];
    let mut complete = vec![0u32; count];
    for (time, is_complete) in world.requests.iter().filter(|(time, _)| *time >= end) {
        let window = ((time - end) / WINDOW_SECONDS) as usize;
        if window < count {
            sent[window] += 1;
            complete[window] += u32::from(*is_complete);
        }
    }
    let is_recovered =
        |w: &usize| f64::from(complete[*w]) >= f64::from(sent[*w]) * MIN_RECOVERED_SHARE;
    let last = (0..count).rev().find(|w| !is_recovered(w));
    last.map_or(0.0, |w| (w + 1) as f64 * WINDOW_SECONDS)
}
