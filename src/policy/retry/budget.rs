//! What bounds the retries of one service at one daemon.

use tokio::time::Instant;

use super::{Allowance, Ratio};
use crate::model::{Level, RootId};

/// What bounds the retries of one service at one daemon.
#[derive(Debug)]
pub enum RetryBudget {
    /// A share of the calls that are answered here.
    Answered(Ratio),
    /// This daemon's part of what the estate allows in any few seconds.
    Allowed(Box<Allowance>),
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::Answered(Ratio::default())
    }
}

impl RetryBudget {
    /// Takes note of a call that is made for the first time.
    pub fn asked(&mut self, now: Instant) {
        match self {
            Self::Answered(_) => {}
            Self::Allowed(allowance) => allowance.asked(now),
        }
    }

    /// Takes note of a call that was answered.
    pub fn answered(&mut self) {
        match self {
            Self::Answered(ratio) => ratio.answered(),
            Self::Allowed(_) => {}
        }
    }

    /// Takes one retry out for a call of `level` in the tree of `root`, if
    /// there is one for it.
    pub fn take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        match self {
            Self::Answered(ratio) => ratio.take(),
            Self::Allowed(allowance) => allowance.take(now, level, root),
        }
    }
}
