//! What a caller is told in place of a backend server's answer.

use std::time::Duration;

use super::Reason;
use crate::model::{CrashId, GuardStatus, Retries, Verdict};

/// What a verdict of `not-run` speaks of, where a call bears a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictScope {
    /// This attempt; an earlier one with the same key may have run.
    Attempt,
    /// The key as a whole, by the only instance that may start it.
    Key,
}

/// A call without an answer of a backend server.
///
/// Only an [`Attempt`](super::Attempt) makes one, since only it knows whether
/// the call was passed on; so `not-run` cannot be said of a call that was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    verdict: Verdict,
    reason: Reason,
    scope: VerdictScope,
    /// More on the cause, for people.
    pub detail: Box<str>,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Retries that come home.
    pub returned_retries: Retries,
    /// What the guard tells of itself, if one was reached.
    pub guard_status: Option<GuardStatus>,
    /// The crash that the call was under way at, if its server crashed.
    pub crash: Option<CrashId>,
}

impl Refusal {
    pub(super) fn new(verdict: Verdict, reason: Reason, detail: impl Into<Box<str>>) -> Self {
        Self {
            verdict,
            reason,
            scope: VerdictScope::Attempt,
            detail: detail.into(),
            retry_after: None,
            returned_retries: Retries::new(0),
            guard_status: None,
            crash: None,
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

    /// Tells whether a backend server may have seen the call.
    pub fn may_have_arrived(&self) -> bool {
        self.verdict != Verdict::NotRun || self.reason == Reason::Rejected
    }

    /// Returns what a verdict of `not-run` speaks of.
    pub fn scope(&self) -> VerdictScope {
        self.scope
    }

    /// Marks the refusal as speaking of the key as a whole.
    ///
    /// Only for the instance that may start the key and knows that it has not,
    /// or by a home row read after the call arrived.
    #[must_use]
    pub fn with_key_scope(mut self) -> Self {
        self.scope = VerdictScope::Key;
        self
    }

    /// Weakens the verdict where an earlier attempt at the same call may have
    /// run.
    #[must_use]
    pub fn with_earlier(mut self, earlier: Verdict) -> Self {
        if self.verdict == Verdict::NotRun {
            self.verdict = earlier;
        }
        self
    }
}
