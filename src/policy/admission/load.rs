//! The load of one guard, for the log.

use std::time::Duration;

use crate::model::{Level, Rate};

/// The load of one guard, with counts since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardLoad {
    /// Calls in flight at the backend server.
    pub running: usize,
    /// Queued calls.
    pub waiting: usize,
    /// The concurrency limit.
    pub limit: usize,
    /// Started calls.
    pub started: u64,
    /// Shed calls.
    pub shed: u64,
    /// The level below which entries refuse calls to this guard.
    pub level: Level,
    /// The level that downstream services demand.
    pub downstream: Level,
    /// Mean latency of answers.
    pub latency: Duration,
    /// Calls a second that the backend server has requested, if any.
    pub rate: Option<Rate>,
}
