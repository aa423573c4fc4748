//! What a caller is told in place of a backend server's answer.

use std::time::Duration;

use super::Reason;
use crate::model::{GuardNews, Retries, Verdict};

/// A call without an answer of a backend server.
///
/// Only an [`Attempt`](super::Attempt) makes one, since only it knows whether
/// the call was passed on; so `not-run` cannot be said of a call that was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    verdict: Verdict,
    reason: Reason,
    /// More on the cause, for people.
    pub detail: Box<str>,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Retries that come home.
    pub account: Retries,
    /// What the guard tells of itself, if one was reached.
    pub news: Option<GuardNews>,
}

impl Refusal {
    pub(super) fn new(verdict: Verdict, reason: Reason, detail: impl Into<Box<str>>) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            retry_after: None,
            account: Retries::new(0),
            news: None,
        }
    }

    /// Returns whether a backend server may have run the call.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns why there is no answer.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Weakens the verdict where an earlier attempt at the same call may have
    /// run.
    #[must_use]
    pub fn after(mut self, earlier: Verdict) -> Self {
        if self.verdict == Verdict::NotRun {
            self.verdict = earlier;
        }
        self
    }
}
