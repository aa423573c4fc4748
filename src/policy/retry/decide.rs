//! The decision whether a failed attempt is retried.

use std::time::Duration;

use super::RetryAccount;
use crate::model::Verdict;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Running it again does no harm.
    Safe,
    /// Running it again does harm.
    Unsafe,
}

/// A failed attempt, as far as the retry decision depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether a backend server has or may have run it.
    pub verdict: Verdict,
    /// Whether it failed because all servers of the service are overloaded.
    pub overload: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt; the retry is already spent.
    Retry,
    /// Return the failure to the caller at once.
    GiveUp,
}

/// With less time than this before the deadline, no further attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Decides whether to make another attempt, and spends a retry for it;
/// `try_take` takes it from the service's retry budget.
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
