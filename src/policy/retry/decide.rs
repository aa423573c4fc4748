//! Which failed attempts may be made again.

use std::time::Duration;

use super::RetryAccount;
use crate::model::Verdict;

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Running twice does no harm.
    Safe,
    /// Running twice does harm.
    Unsafe,
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether a backend server may have run it.
    pub verdict: Verdict,
    /// Whether the cause was that the service has too much work everywhere.
    pub overload: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt; one retry has been spent.
    Retry,
    /// Give the failure to the caller at once.
    GiveUp,
}

/// Time below which another attempt is not worth while.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Decides on another attempt, and spends a retry for it; `take` takes one out
/// of what the service may use.
pub fn decide_retry(
    failed: FailedAttempt,
    safety: RepeatSafety,
    account: &mut RetryAccount,
    try_take: impl FnOnce() -> bool,
) -> RetryDecision {
    let may_repeat = match failed.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => safety == RepeatSafety::Safe,
        Verdict::Ran => false,
    };
    if !may_repeat || failed.overload || failed.time_left < MIN_TIME_LEFT {
        return RetryDecision::GiveUp;
    }
    if account.left().get() == 0 || !try_take() {
        return RetryDecision::GiveUp;
    }
    if account.spend() {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp
    }
}
