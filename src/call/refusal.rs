//! Refusals, which take the place of a backend server's answer.

use std::time::Duration;

use super::Reason;
use crate::model::{CrashId, GuardStatus, Retries, Verdict};
use crate::policy::crash::Suspect;

/// What a verdict of `not-run` applies to if the call has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictScope {
    /// This attempt; an earlier one with the same key may have run.
    Attempt,
    /// All attempts with the key, as stated by the only instance that may start it.
    Key,
}

/// A call without an answer of a backend server.
///
/// Only an [`Attempt`](super::Attempt) creates one, because only it knows whether
/// the call was sent. So a sent call can't be reported as `not-run` by mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    verdict: Verdict,
    reason: Reason,
    scope: VerdictScope,
    /// Human-readable detail of the cause, possibly empty.
    pub detail: Box<str>,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Unused retries of the grant.
    pub returned_retries: Retries,
    /// The status of the guard, if one was reached.
    pub guard_status: Option<GuardStatus>,
    /// The crash during which the call was in flight, if its server crashed.
    pub crash: Option<Box<CrashReport>>,
}

/// What a guard reports of a crash to the entry of a call that was in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// The request, and others that may be the cause, as the guard knows them.
    pub suspects: Box<[Suspect]>,
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

    /// Returns whether the call may have reached a backend server.
    pub fn may_have_arrived(&self) -> bool {
        self.verdict != Verdict::NotRun || self.reason == Reason::Rejected
    }

    /// Returns what a verdict of `not-run` applies to.
    pub fn scope(&self) -> VerdictScope {
        self.scope
    }

    /// Extends the verdict to all attempts with the key.
    ///
    /// Only for the instance that may start the key and knows that it has not, or
    /// on the evidence of an ownership row read after the call arrived.
    #[must_use]
    pub fn with_key_scope(mut self) -> Self {
        self.scope = VerdictScope::Key;
        self
    }

    /// Replaces a verdict of `not-run` by that of an earlier attempt at the call.
    #[must_use]
    pub fn with_earlier(mut self, earlier: Verdict) -> Self {
        if self.verdict == Verdict::NotRun {
            self.verdict = earlier;
        }
        self
    }
}
