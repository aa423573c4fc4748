//! Histograms of latency, bounded in number.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::CallStatus;

/// Longest latency that is told apart, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Most rows of one table; further names count as the last one.
const MAX_ROWS: usize = 256;
/// The row of names past the bound.
const OVERFLOW: &str = "others";

/// By what calls are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// By class of work.
    Class,
    /// By caller.
    Caller,
}

struct Cell {
    latency: Option<Histogram<u64>>,
    complete: u64,
    shed: u64,
    failed: u64,
    retries: u64,
}

impl Cell {
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

/// The figures of one class or caller since the daemon started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetricsRow {
    /// The class or caller.
    pub name: Box<str>,
    /// Calls answered whole.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Calls shed.
    pub shed: u64,
    /// Calls that failed in another way.
    pub failed: u64,
    /// Retries made.
    pub retries: u64,
    /// Median latency of whole answers, in microseconds.
    pub p50_us: u64,
    /// Latency of 99 in 100 whole answers, in microseconds.
    pub p99_us: u64,
    /// Greatest latency of whole answers, in microseconds.
    pub max_us: u64,
}

/// Figures by name, bounded in number whatever callers send.
#[derive(Default)]
pub struct MetricsTable {
    cells: Mutex<BTreeMap<Box<str>, Cell>>,
}

impl MetricsTable {
    /// Counts a call that ended.
    pub fn record(&self, name: &str, status: CallStatus, latency: Duration, retries: u32) {
        let mut cells = self.cells.lock();
        let name = if cells.contains_key(name) || cells.len() < MAX_ROWS {
            name
        } else {
            OVERFLOW
        };
        if !cells.contains_key(name) {
            cells.insert(name.into(), Cell::new());
        }
        let Some(cell) = cells.get_mut(name) else {
            return;
        };
        cell.retries += u64::from(retries);
        match status {
            CallStatus::Complete => {
                cell.complete += 1;
                let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
                if let Some(histogram) = &mut cell.latency {
                    histogram.saturating_record(us.clamp(1, MAX_US));
                }
            }
            CallStatus::Shed => cell.shed += 1,
            CallStatus::Failed => cell.failed += 1,
        }
    }

    /// Returns all rows.
    pub fn rows(&self) -> Vec<MetricsRow> {
        self.cells
            .lock()
            .iter()
            .map(|(name, cell)| MetricsRow {
                name: name.clone(),
                complete: cell.complete,
                shed: cell.shed,
                failed: cell.failed,
                retries: cell.retries,
                p50_us: quantile(cell, 0.5),
                p99_us: quantile(cell, 0.99),
                max_us: cell.latency.as_ref().map_or(0, Histogram::max),
            })
            .collect()
    }
}

fn quantile(cell: &Cell, q: f64) -> u64 {
    cell.latency.as_ref().map_or(0, |h| h.value_at_quantile(q))
}
