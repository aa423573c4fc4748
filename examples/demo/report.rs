//! The final table of results.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::emulator::{CallerOutcome, Sample, SampleLog, Site};
use serde::Serialize;
use tokio::time::Instant;

use crate::scenario::{Disturbance, Phase, RequestKind};

/// Shortest window in which the share of complete answers is computed.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// Requests that a window must contain on average.
const MIN_WINDOW_REQUESTS: f64 = 20.0;
/// Share of complete answers from which a class counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Results of one class of requests.
#[derive(Serialize)]
pub(crate) struct ClassRow {
    class: &'static str,
    sent: usize,
    whole: usize,
    shed: usize,
    failed: usize,
    wrong: usize,
    run_twice: usize,
    p50_ms: f64,
    p99_ms: f64,
    /// Longest time from the end of a disturbance until the class recovered.
    recovery_s: f64,
}

/// Results of all classes.
#[derive(Serialize)]
pub(crate) struct Report {
    rows: Vec<ClassRow>,
}

impl Report {
    pub(crate) fn new(
        site: &Site,
        classes: &[(RequestKind, Arc<SampleLog>)],
        phases: &[Phase],
        start: Instant,
    ) -> Self {
        let rows = classes
            .iter()
            .map(|(kind, log)| {
                let samples = log.samples();
                let count = |outcome| samples.iter().filter(|s| s.outcome == outcome).count();
                let mut latencies: Vec<f64> = samples
                    .iter()
                    .filter(|s| s.outcome == CallerOutcome::Complete)
                    .map(|s| (s.end - s.start).as_secs_f64() * 1000.0)
                    .collect();
                latencies.sort_by(f64::total_cmp);
                let quantile = |q: f64| {
                    let index = (latencies.len() as f64 * q) as usize;
                    latencies
                        .get(index.min(latencies.len().saturating_sub(1)))
                        .copied()
                        .unwrap_or(0.0)
                };
                ClassRow {
                    class: kind.class,
                    sent: samples.len(),
                    whole: count(CallerOutcome::Complete),
                    shed: count(CallerOutcome::Shed),
                    failed: count(CallerOutcome::Failed),
                    wrong: count(CallerOutcome::Wrong),
                    run_twice: run_twice(site, kind),
                    p50_ms: quantile(0.5),
                    p99_ms: quantile(0.99),
                    recovery_s: longest_recovery(&samples, kind.rate, phases, start),
                }
            })
            .collect();
        Self { rows }
    }

    /// Returns whether no answer was wrong and no key ran twice.
    pub(crate) fn is_correct(&self) -> bool {
        self.rows.iter().all(|r| r.wrong == 0 && r.run_twice == 0)
    }
}

/// Counts the keys that ran more than once on all servers of the service.
fn run_twice(site: &Site, kind: &RequestKind) -> usize {
    let mut runs = std::collections::HashMap::new();
    let servers = site
        .servers
        .iter()
        .filter(|s| s.service == kind.workload.service);
    for (key, count) in servers.flat_map(|s| s.backend.runs_by_key()) {
        *runs.entry(key).or_insert(0) += count;
    }
    runs.values().filter(|count| **count > 1).count()
}

fn longest_recovery(samples: &[Sample], rate: f64, phases: &[Phase], start: Instant) -> f64 {
    let window = MIN_WINDOW.max(Duration::from_secs_f64(MIN_WINDOW_REQUESTS / rate));
    let mut end = start;
    let mut longest = Duration::ZERO;
    for pair in phases.windows(2) {
        end += pair[0].length;
        if pair[0].disturbance != Disturbance::None {
            longest = longest.max(time_to_recovery(samples, window, end, end + pair[1].length));
        }
    }
    longest.as_secs_f64()
}

/// Returns the time from `from` to the end of the last window below
/// [`RECOVERED_SHARE`].
fn time_to_recovery(
    samples: &[Sample],
    window: Duration,
    from: Instant,
    until: Instant,
) -> Duration {
    let mut last = Duration::ZERO;
    let mut window_start = from;
    while window_start < until {
        let sent: Vec<&Sample> = samples
            .iter()
            .filter(|s| s.start >= window_start && s.start < window_start + window)
            .collect();
        let whole = sent
            .iter()
            .filter(|s| s.outcome == CallerOutcome::Complete)
            .count();
        if (whole as f64) < sent.len() as f64 * RECOVERED_SHARE {
            last = window_start + window - from;
        }
        window_start += window;
    }
    last
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>7} {:>7} {:>6} {:>6} {:>6} {:>9} {:>8} {:>8} {:>10}",
            "class",
            "sent",
            "whole",
            "shed",
            "failed",
            "wrong",
            "run twice",
            "p50 ms",
            "p99 ms",
            "recovery s"
        )?;
        for r in &self.rows {
            writeln!(
                f,
                "{:<20} {:>7} {:>7} {:>6} {:>6} {:>6} {:>9} {:>8.1} {:>8.1} {:>10.2}",
                r.class,
                r.sent,
                r.whole,
                r.shed,
                r.failed,
                r.wrong,
                r.run_twice,
                r.p50_ms,
                r.p99_ms,
                r.recovery_s
            )?;
        }
        Ok(())
    }
}
