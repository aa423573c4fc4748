//! Latency histograms by name, with a limit on the number of names.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::CallStatus;

/// Longest latency that a histogram resolves, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Maximum number of named rows in a table; further names are counted as `OVERFLOW_NAME`.
const MAX_ROWS: usize = 256;
/// The row that counts all names beyond `MAX_ROWS`.
const OVERFLOW_NAME: &str = "others";

/// The grouping of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// By class of work.
    Class,
    /// By caller.
    Caller,
}

struct CallStats {
    latency: Option<Histogram<u64>>,
    complete: u64,
    shed: u64,
    failed: u64,
    retries: u64,
}

impl CallStats {
    fn new() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_US, 2).ok(),
            complete: 0,
            shed: 0,
            failed: 0,
            retries: 0,
        }
    }
}

/// The metrics of one class or caller since the daemon started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetricsRow {
    /// The class or caller.
    pub name: Box<str>,
    /// Calls with a complete answer.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Calls that were shed.
    pub shed: u64,
    /// Calls that failed for other reasons.
    pub failed: u64,
    /// Retries.
    pub retries: u64,
    /// Median latency of complete answers, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of complete answers, in microseconds.
    pub p99_us: u64,
    /// Maximum latency of complete answers, in microseconds.
    pub max_us: u64,
}

/// Metrics by name. The number of names is limited, whatever callers send.
#[derive(Default)]
pub struct MetricsTable {
    stats_by_name: Mutex<BTreeMap<Box<str>, CallStats>>,
}

impl MetricsTable {
    /// Records a call that ended.
    pub fn record(&self, name: &str, status: CallStatus, latency: Duration, retries: u32) {
        let mut stats_by_name = self.stats_by_name.lock();
        let name = if stats_by_name.contains_key(name) || stats_by_name.len() < MAX_ROWS {
            name
        } else {
            OVERFLOW_NAME
        };
        if !stats_by_name.contains_key(name) {
            stats_by_name.insert(name.into(), CallStats::new());
        }
        let Some(stats) = stats_by_name.get_mut(name) else {
            return;
        };
        stats.retries += u64::from(retries);
        match status {
            CallStatus::Complete => {
                stats.complete += 1;
                let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
                if let Some(histogram) = &mut stats.latency {
                    histogram.saturating_record(us.clamp(1, MAX_US));
                }
            }
            CallStatus::Shed => stats.shed += 1,
            CallStatus::Failed => stats.failed += 1,
        }
    }

    /// Returns all rows.
    pub fn rows(&self) -> Vec<MetricsRow> {
        self.stats_by_name
            .lock()
            .iter()
            .map(|(name, stats)| MetricsRow {
                name: name.clone(),
                complete: stats.complete,
                shed: stats.shed,
                failed: stats.failed,
                retries: stats.retries,
                p50_us: quantile(stats, 0.5),
                p99_us: quantile(stats, 0.99),
                max_us: stats.latency.as_ref().map_or(0, Histogram::max),
            })
            .collect()
    }
}

fn quantile(stats: &CallStats, q: f64) -> u64 {
    stats.latency.as_ref().map_or(0, |h| h.value_at_quantile(q))
}
