//! Reports of attempts to the table of targets.

use tokio::time::Instant;

use super::forward::ForwardedCall;
use crate::call::{Reason, Refusal, Reply};
use crate::model::Instance;
use crate::policy::route::{AttemptReport, CallKind, CallTime, Table};

/// Reports to the table of targets how an attempt ended, even if the caller
/// disconnects first.
pub(super) struct AttemptReporter<'f> {
    forward: &'f ForwardedCall<'f>,
    target: Instance,
    sent_at: Instant,
    is_reported: bool,
}

impl<'f> AttemptReporter<'f> {
    /// Starts to observe an attempt that was counted as sent to `target`.
    pub(super) fn new(forward: &'f ForwardedCall<'f>, target: Instance) -> Self {
        Self {
            forward,
            target,
            sent_at: Instant::now(),
            is_reported: false,
        }
    }

    /// Reports how the attempt ended.
    pub(super) fn report(mut self, result: &Result<Reply, Refusal>) {
        let status = match result {
            Ok(reply) => Some(reply.head.guard_status),
            Err(refusal) => refusal.guard_status,
        };
        let report = match status {
            Some(status) if matches!(result, Err(r) if r.reason() == Reason::Rejected) => {
                AttemptReport::Rejected(status)
            }
            Some(status) => AttemptReport::Responded(status),
            None if matches!(result, Err(refusal) if refusal.reason().is_no_response()) => {
                AttemptReport::Unreachable
            }
            None => AttemptReport::Failed,
        };
        let notices = &self.forward.context.shared.notices;
        match (result, status.and_then(|status| status.notice)) {
            (_, Some(notice)) => notices.record(self.target.address, notice),
            (Ok(_), None) => notices.record_none(self.target.address),
            // A guard that refuses may not have received its server's notice yet.
            (Err(_), None) => {}
        }
        let now = Instant::now();
        self.forward.table(|table| {
            table.report(now, self.target, report);
            self.report_time(table, now, result);
            if let Ok(reply) = result {
                table.retry_budget().record_answer();
                self.record_own_call(table, reply);
            }
        });
        self.is_reported = true;
    }

    /// Reports how long the attempt took. Only a successful answer that isn't a
    /// stored one shows how fast the server is.
    fn report_time(&self, table: &mut Table, now: Instant, result: &Result<Reply, Refusal>) {
        let time = now.saturating_duration_since(self.sent_at);
        let call_time = match result {
            Ok(reply) if reply.head.from_store => return,
            Ok(reply) if reply.head.status.is_success() => CallTime::Answered(time),
            Ok(_) | Err(_) => CallTime::Unanswered(time),
        };
        table.record_time(now, self.target, self.call_kind(), call_time);
    }

    fn call_kind(&self) -> CallKind {
        let head = self.forward.head();
        CallKind {
            rank: head.priority.rank(),
            depth: head.depth,
        }
    }

    /// Records whether callers' own calls of this class make onward calls.
    fn record_own_call(&self, table: &mut Table, reply: &Reply) {
        let is_own_call =
            self.forward.accepted.parent.is_none() && self.forward.head().once.is_none();
        if is_own_call && !reply.head.status.is_server_error() {
            table.record_own_call(self.forward.head().priority.rank(), reply.head.made_calls);
        }
    }
}

impl Drop for AttemptReporter<'_> {
    fn drop(&mut self) {
        if !self.is_reported {
            let now = Instant::now();
            let call_time = CallTime::Unanswered(now.saturating_duration_since(self.sent_at));
            self.forward.table(|table| {
                table.report(now, self.target, AttemptReport::Abandoned);
                table.record_time(now, self.target, self.call_kind(), call_time);
            });
        }
    }
}
