//! Decides whether a call is attempted again after a failed attempt.

use tokio::time::Instant;

use super::forward::ForwardedCall;
use crate::call::{Reason, Refusal, VerdictScope};
use crate::model::Verdict;
use crate::policy::admission::Shed;
use crate::policy::retry::{FailedAttempt, RetryDecision, decide_retry};

/// Refusals by guards after which a call is given up or waits; more would delay
/// the refusal.
pub(super) const MAX_GUARD_REFUSALS: u32 = 3;

/// How often a call is sent again to backend servers that rejected it. If they
/// reject 55 of 100 calls, as some do for seconds, fewer than 1 call in 200 is
/// rejected that often in a row.
const MAX_REJECTION_RETRIES: u32 = 8;

impl ForwardedCall<'_> {
    /// Weakens `not-run` if earlier attempts at the call may have run.
    ///
    /// If the caller may already have sent the key elsewhere, only the owner of
    /// the key can report that the call was not run.
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

    /// Records a failed attempt and decides whether to make another.
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
        // A lost once call is retried at the same instance, whose ledger
        // prevents a second run.
        let is_once_retry = head.once.is_some()
            && matches!(
                failed.reason(),
                Reason::IncompleteAnswer | Reason::Crashed | Reason::Unreachable
            );
        if !is_once_retry && !failed.reason().may_succeed_elsewhere() {
            return false;
        }
        // A rejected call may be sent again to servers that rejected it; after
        // any other failure the maximum number of servers applies.
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
            time_left: head.expires.saturating_duration_since(Instant::now()),
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

    /// Counts a refusal by a guard and decides whether to try another guard.
    /// That is not a retry, since no backend server has received the call.
    fn may_try_other_guard(&mut self, failed: &Refusal) -> bool {
        let reason = failed.reason();
        let elsewhere = reason.may_succeed_elsewhere() || reason.is_overload();
        self.guard_refusals += 1;
        elsewhere && (self.guard_refusals <= MAX_GUARD_REFUSALS || self.may_wait_after(failed))
    }

    /// Returns whether a call refused because of a backend server's requested
    /// rate may wait at that server instead.
    pub(super) fn may_wait_after(&self, failed: &Refusal) -> bool {
        !self.may_wait && failed.reason() == Reason::Shed(Shed::Limited)
    }
}
