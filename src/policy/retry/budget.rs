//! Limits on the retries of one service at one daemon.

use tokio::time::Instant;

use super::{Allowance, RetryRatio};
use crate::model::{Level, RootId};

/// Limits the retries of one service at one daemon.
#[derive(Debug)]
pub enum RetryBudget {
    /// A share of the calls that are answered at this daemon.
    AnswerRatio(RetryRatio),
    /// This daemon's part of the estate's allowance in a sliding window.
    WindowAllowance(Box<Allowance>),
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::AnswerRatio(RetryRatio::default())
    }
}

impl RetryBudget {
    /// Records the first attempt at a call.
    pub fn record_call(&mut self, now: Instant) {
        match self {
            Self::AnswerRatio(_) => {}
            Self::WindowAllowance(allowance) => allowance.record_call(now),
        }
    }

    /// Records an answered call.
    pub fn record_answer(&mut self) {
        match self {
            Self::AnswerRatio(ratio) => ratio.record_answer(),
            Self::WindowAllowance(_) => {}
        }
    }

    /// Takes one retry for a call of `level` in the call tree of `root`, if it
    /// may have one.
    pub fn try_take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        match self {
            Self::AnswerRatio(ratio) => ratio.try_take(),
            Self::WindowAllowance(allowance) => allowance.try_take(now, level, root),
        }
    }
}
