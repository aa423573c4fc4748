//! What a caller is told in place of a backend server's answer.

use std::time::Duration;

use super::Reason;
use crate::model::{CrashId, GuardNews, Retries, Verdict};

/// What a verdict of `not-run` speaks of, where a call bears a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
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
    scope: Scope,
    /// More on the cause, for people.
    pub detail: Box<str>,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Retries that come home.
    pub account: Retries,
    /// What the guard tells of itself, if one was reached.
    pub news: Option<GuardNews>,
    /// The crash that the call was under way at, if its server crashed.
    pub crash: Option<CrashId>,
}

impl Refusal {
    pub(super) fn new(verdict: Verdict, reason: Reason, detail: impl Into<Box<str>>) -> Self {
        Self {
            verdict,
            reason,
            scope: Scope::Attempt,
            detail: detail.into(),
            retry_after: None,
            account: Retries::new(0),
            news: None,
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
    pub fn arrived(&self) -> bool {
        self.verdict != Verdict::NotRun || self.reason == Reason::Rejected
    }

    /// Returns what a verdict of `not-run` speaks of.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Marks the refusal as speaking of the key as a whole.
    ///
    /// Only for the instance that may start the key and knows that it has not,
    /// or by a home row read after the call arrived.
    #[must_use]
    pub fn of_key(mut self) -> Self {
        self.scope = Scope::Key;
        self
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
