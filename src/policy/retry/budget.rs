//! What bounds the retries of one service at one daemon.

use tokio::time::Instant;

use super::{Allowance, RetryRatio};
use crate::model::{Level, RootId};

/// What bounds the retries of one service at one daemon.
#[derive(Debug)]
pub enum RetryBudget {
    /// A share of the calls that are answered here.
    AnswerRatio(RetryRatio),
    /// This daemon's part of what the estate allows in any few seconds.
    WindowAllowance(Box<Allowance>),
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::AnswerRatio(RetryRatio::default())
    }
}

impl RetryBudget {
    /// Takes note of a call that is made for the first time.
    pub fn record_call(&mut self, now: Instant) {
        match self {
            Self::AnswerRatio(_) => {}
            Self::WindowAllowance(allowance) => allowance.record_call(now),
        }
    }

    /// Takes note of a call that was answered.
    pub fn record_answer(&mut self) {
        match self {
            Self::AnswerRatio(ratio) => ratio.record_answer(),
            Self::WindowAllowance(_) => {}
        }
    }

    /// Takes one retry out for a call of `level` in the tree of `root`, if
    /// there is one for it.
    pub fn try_take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        match self {
            Self::AnswerRatio(ratio) => ratio.try_take(),
            Self::WindowAllowance(allowance) => allowance.try_take(now, level, root),
        }
    }
}
