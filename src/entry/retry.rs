//! Whether a call is attempted again after an attempt failed.

use tokio::time::Instant;

use super::forward::ForwardedCall;
use crate::call::{Reason, Refusal, VerdictScope};
use crate::model::Verdict;
use crate::policy::admission::Shed;
use crate::policy::retry::{FailedAttempt, RetryDecision, decide_retry};

/// Most guards that one call is refused by before it is given up; more would
/// make refusals late.
pub(super) const MAX_GUARD_REFUSALS: u32 = 3;

/// How often a call is asked again of backend servers that refused it. Where
/// they refuse 55 in 100, as some do for seconds, fewer than one call in two
/// hundred is refused that often in a row.
const MAX_REJECTION_RETRIES: u32 = 8;

impl ForwardedCall<'_> {
    /// Weakens `not-run` where earlier attempts at the call may have run.
    ///
    /// Of a key that the caller may have sent before, elsewhere, only the
    /// instance that may start it can say that it was not run.
    pub(super) fn weaken_verdict(&self, refusal: Refusal) -> Refusal {
        let may_be_repeat = self.head().once.is_some()
            && self.accepted.attempt_number != Some(1)
            && refusal.scope() == VerdictScope::Attempt;
        let earlier = if may_be_repeat {
            Verdict::MayHaveRun
        } else {
            self.earlier_verdict
        };
        refusal.with_earlier(earlier)
    }

    /// Decides on another attempt after one failed.
    pub(super) fn should_retry(&mut self, failed: &Refusal) -> bool {
        let head = &self.accepted.head;
        if failed.verdict() == Verdict::MayHaveRun {
            self.earlier_verdict = Verdict::MayHaveRun;
        }
        if failed.may_have_arrived() {
            self.sent_count += 1;
        } else if head.once.is_none() {
            return self.may_try_other_guard(failed);
        }
        // A lost once call is repeated at the same instance, whose ledger
        // keeps it from running twice.
        let is_once_retry = head.once.is_some()
            && matches!(
                failed.reason(),
                Reason::IncompleteAnswer | Reason::Crashed | Reason::Unreachable
            );
        if !is_once_retry && !failed.reason().may_succeed_elsewhere() {
            return false;
        }
        // A call that every server has refused may be asked of them again; one
        // that may have run counts against the servers it may be sent to.
        let max_servers = match failed.reason() {
            Reason::Rejected => self.accepted.max_servers + MAX_REJECTION_RETRIES,
            _ => self.accepted.max_servers,
        };
        if self.sent_count >= max_servers {
            return false;
        }
        let verdict = if is_once_retry {
            Verdict::NotRun
        } else {
            failed.verdict()
        };
        let failure = FailedAttempt {
            verdict,
            overload: failed.reason().is_overload(),
            time_left: head.deadline.saturating_duration_since(Instant::now()),
        };
        let safety = self.accepted.safety;
        let now = Instant::now();
        let (level, root) = (head.priority.level(), head.root);
        self.table(|table| {
            self.retry_source.with_account(|account| {
                decide_retry(failure, safety, account, || {
                    table.retry_budget().try_take(now, level, root)
                })
            })
        }) == RetryDecision::Retry
    }

    /// Decides whether a call that no backend server has seen is tried at
    /// another guard; that is no retry, since nothing was asked of a server.
    fn may_try_other_guard(&mut self, failed: &Refusal) -> bool {
        let reason = failed.reason();
        let elsewhere = reason.may_succeed_elsewhere() || reason.is_overload();
        self.guard_refusals += 1;
        elsewhere && (self.guard_refusals <= MAX_GUARD_REFUSALS || self.may_wait_after(failed))
    }

    /// Tells whether a call that found no room below the rate of a backend
    /// server may still wait there.
    pub(super) fn may_wait_after(&self, failed: &Refusal) -> bool {
        !self.may_wait && failed.reason() == Reason::Shed(Shed::Limited)
    }
}
