//! The load of one guard, for people.

use std::time::Duration;

use crate::model::{Level, Rate};

/// The load of one guard, with counts since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardLoad {
    /// Calls in flight at the backend server.
    pub running: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Most calls that may be in flight.
    pub limit: usize,
    /// Calls that were started.
    pub started: u64,
    /// Calls that were refused.
    pub shed: u64,
    /// The level below which calls are refused at the source.
    pub level: Level,
    /// The level that services further down demand.
    pub downstream: Level,
    /// Mean time of an answer.
    pub latency: Duration,
    /// Calls a second that the backend server takes, if it named a rate.
    pub rate: Option<Rate>,
}
