//! Which failed attempts may be made again.

use std::time::Duration;

use super::Account;
use crate::model::Verdict;

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safety {
    /// Running twice does no harm.
    Idempotent,
    /// Running twice does harm.
    Once,
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether a backend server may have run it.
    pub verdict: Verdict,
    /// Whether the cause was that the service has too much work everywhere.
    pub overload: bool,
    /// Time until the caller's deadline.
    pub left: Duration,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Make another attempt; one retry has been spent.
    Again,
    /// Give the failure to the caller at once.
    GiveUp,
}

/// Time below which another attempt is not worth while.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// Decides on another attempt, and spends a retry for it; `take` takes one out
/// of what the service may use.
pub fn decide(
    failure: Failure,
    safety: Safety,
    account: &mut Account,
    take: impl FnOnce() -> bool,
) -> Retry {
    let harmless = match failure.verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => safety == Safety::Idempotent,
        Verdict::Ran => false,
    };
    if !harmless || failure.overload || failure.left < MIN_LEFT {
        return Retry::GiveUp;
    }
    if account.left().get() == 0 || !take() {
        return Retry::GiveUp;
    }
    if account.spend() {
        Retry::Again
    } else {
        Retry::GiveUp
    }
}
