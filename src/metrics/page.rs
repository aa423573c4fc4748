//! Metrics of the daemon in the text format of scrapers.

use std::fmt::Write;

use super::MetricsRow;
use crate::model::Rate;

/// The names of all metrics and their help texts.
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
        "latency of complete answers, by class and quantile",
    ),
    (
        "bramleymount_guard_in_flight",
        "calls in flight at the backend server",
    ),
    ("bramleymount_guard_waiting", "calls that wait for a slot"),
    (
        "bramleymount_guard_limit",
        "maximum number of calls in flight at the backend server",
    ),
    (
        "bramleymount_guard_rate",
        "calls per second that the backend server accepts; absent if it requested no rate",
    ),
    (
        "bramleymount_configuration_version",
        "version of the active configuration, 0 if none",
    ),
];

/// Metrics of the daemon that are not by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Calls in flight, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// Calls per second that the backend server accepts, if it requested a rate.
    pub rate: Option<Rate>,
    /// The version of the configuration.
    pub version: u64,
}

/// Formats the page.
pub fn metrics_page(rows: &[MetricsRow], gauges: Gauges) -> String {
    let mut text = String::new();
    for (index, (name, help)) in METRIC_NAMES.iter().enumerate() {
        let kind = if index < 2 { "counter" } else { "gauge" };
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} {kind}");
        match index {
            0 => rows
                .iter()
                .for_each(|row| write_calls(&mut text, name, row)),
            1 => rows.iter().for_each(|row| {
                let _ = writeln!(text, "{name}{{class=\"{}\"}} {}", row.name, row.retries);
            }),
            2 => rows
                .iter()
                .for_each(|row| write_latency(&mut text, name, row)),
            3 => write_value(&mut text, name, gauges.load.0 as u64),
            4 => write_value(&mut text, name, gauges.load.1 as u64),
            5 => write_value(&mut text, name, gauges.load.2 as u64),
            6 => gauges.rate.iter().for_each(|rate| {
                let _ = writeln!(text, "{name} {}", rate.get());
            }),
            _ => write_value(&mut text, name, gauges.version),
        }
    }
    text
}

fn write_value(text: &mut String, name: &str, value: u64) {
    let _ = writeln!(text, "{name} {value}");
}

fn write_calls(text: &mut String, name: &str, row: &MetricsRow) {
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

fn write_latency(text: &mut String, name: &str, row: &MetricsRow) {
    let quantiles = [("0.5", row.p50_us), ("0.99", row.p99_us), ("1", row.max_us)];
    for (quantile, value) in quantiles {
        let class = &row.name;
        let _ = writeln!(
            text,
            "{name}{{class=\"{class}\",quantile=\"{quantile}\"}} {value}"
        );
    }
}
