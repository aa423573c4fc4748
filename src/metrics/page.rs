//! Figures of the daemon as text that scrapers read.

use std::fmt::Write;

use super::MetricsRow;
use crate::model::Rate;

/// The names of all figures, with unit and meaning.
pub const METRIC_NAMES: [(&str, &str); 8] = [
    (
        "bramleymount_calls_total",
        "calls that ended at the entry, by class and ending",
    ),
    (
        "bramleymount_retries_total",
        "retries made by the entry, by class",
    ),
    (
        "bramleymount_latency_microseconds",
        "time of whole answers, by class and quantile",
    ),
    (
        "bramleymount_guard_in_flight",
        "calls that the backend server works on",
    ),
    ("bramleymount_guard_waiting", "calls that wait for a slot"),
    (
        "bramleymount_guard_limit",
        "most calls that the backend server is given",
    ),
    (
        "bramleymount_guard_rate",
        "calls a second that the backend server takes; absent if it named no rate",
    ),
    (
        "bramleymount_configuration_version",
        "the version in force, 0 if none",
    ),
];

/// What a page shows besides the figures by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Calls in flight, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// Calls a second that the backend server takes, if it named a rate.
    pub rate: Option<Rate>,
    /// The version of the configuration.
    pub version: u64,
}

/// Writes the page.
pub fn metrics_page(rows: &[MetricsRow], gauges: Gauges) -> String {
    let mut text = String::new();
    for (place, (name, meaning)) in METRIC_NAMES.iter().enumerate() {
        let kind = if place < 2 { "counter" } else { "gauge" };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# HELP {name} {meaning}\n# TYPE {name} {kind}");
        match place {
            0 => rows.iter().for_each(|row| calls(&mut text, name, row)),
            1 => rows.iter().for_each(|row| {
                let _ = writeln!(text, "{name}{{class=\"{}\"}} {}", row.name, row.retries);
            }),
            2 => rows.iter().for_each(|row| latency(&mut text, name, row)),
            3 => line(&mut text, name, gauges.load.0 as u64),
            4 => line(&mut text, name, gauges.load.1 as u64),
            5 => line(&mut text, name, gauges.load.2 as u64),
            6 => gauges.rate.iter().for_each(|rate| {
                let _ = writeln!(text, "{name} {}", rate.get());
            }),
            _ => line(&mut text, name, gauges.version),
        }
    }
    text
}

fn line(text: &mut String, name: &str, value: u64) {
    let _ = writeln!(text, "{name} {value}");
}

fn calls(text: &mut String, name: &str, row: &MetricsRow) {
    let endings = [
        ("whole", row.complete),
        ("shed", row.shed),
        ("failed", row.failed),
    ];
    for (ending, count) in endings {
        let class = &row.name;
        let _ = writeln!(
            text,
            "{name}{{class=\"{class}\",ending=\"{ending}\"}} {count}"
        );
    }
}

fn latency(text: &mut String, name: &str, row: &MetricsRow) {
    let quantiles = [("0.5", row.p50_us), ("0.99", row.p99_us), ("1", row.max_us)];
    for (quantile, value) in quantiles {
        let class = &row.name;
        let _ = writeln!(
            text,
            "{name}{{class=\"{class}\",quantile=\"{quantile}\"}} {value}"
        );
    }
}
