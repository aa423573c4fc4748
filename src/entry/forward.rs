//! Forwarding of a call: attempts until it is answered or given up.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::accept::AcceptedRequest;
use super::attempt_reporter::AttemptReporter;
use super::call_trace::CallTrace;
use super::context::Context;
use super::retry_source::RetrySource;
use crate::call::{Attempt, Call, CallHead, Planned, Reason, Refusal, Reply};
use crate::model::{AttemptId, Instance, RelayedNotice, Retries, Verdict};
use crate::peer::{self, OutgoingCall};
use crate::policy::admission::OnwardOutcome;
use crate::policy::front::{UNREACHABLE_DEMAND, is_unreachable};
use crate::policy::retry::{RepeatSafety, RetryAccount, RetryGrant};
use crate::policy::route::Table;
use crate::tables::{CallStep, StepDetail};
use crate::web::Payload;

/// The result of a call, with the retries that the entry made.
pub(super) struct CallOutcome {
    pub(super) result: Result<Reply, Refusal>,
    pub(super) retries: u32,
}

impl CallOutcome {
    /// Creates the outcome of a call that may have run and is no longer waited for.
    pub(super) fn given_up(detail: &str) -> Self {
        let attempt = Attempt::plan().mark_sent();
        Self {
            result: Err(attempt.abandon(Reason::Timeout, detail)),
            retries: 0,
        }
    }
}

/// A call that the entry is forwarding.
pub(super) struct ForwardedCall<'e> {
    pub(super) context: &'e Context,
    pub(super) retry_source: RetrySource,
    pub(super) accepted: &'e AcceptedRequest,
    trace: &'e CallTrace,
    /// Whether the body is streamed.
    is_stream: bool,
    /// The targets of the called service.
    targets: Arc<Mutex<Table>>,
    pub(super) retries: u32,
    /// The weakest verdict of the attempts so far.
    pub(super) earlier_verdict: Verdict,
    pub(super) tried_targets: Vec<Instance>,
    /// Backend servers that refused the call without running it.
    pub(super) rejecting_servers: Vec<Instance>,
    /// How often the call was sent to a backend server.
    pub(super) sent_count: u32,
    /// Refusals by guards before a backend server received the call.
    pub(super) guard_refusals: u32,
    /// Whether the call may wait for the requested rate of its backend server,
    /// since there is no other server to try.
    pub(super) may_wait: bool,
}

impl<'e> ForwardedCall<'e> {
    pub(super) fn new(
        context: &'e Context,
        accepted: &'e AcceptedRequest,
        trace: &'e CallTrace,
    ) -> Self {
        let retry_source = match &accepted.parent {
            Some(parent) => RetrySource::Parent(Arc::clone(parent)),
            None => RetrySource::Own(Mutex::new(RetryAccount::new(accepted.max_retries))),
        };
        Self {
            context,
            retry_source,
            accepted,
            trace,
            is_stream: false,
            targets: context.shared.targets.table(&accepted.head.service),
            retries: 0,
            earlier_verdict: Verdict::NotRun,
            tried_targets: Vec::new(),
            rejecting_servers: Vec::new(),
            sent_count: 0,
            guard_refusals: 0,
            may_wait: false,
        }
    }

    /// Makes attempts until the call is answered or given up.
    pub(super) async fn run(mut self, body: Payload) -> CallOutcome {
        let result = match body {
            Payload::Whole(bytes) => self.run_attempts(bytes).await,
            stream @ Payload::Stream { .. } => {
                // A stream can't be sent to another target once it has begun.
                self.may_wait = true;
                self.is_stream = true;
                match self.choose_target(Attempt::plan()) {
                    Ok((attempt, target)) => {
                        Box::pin(self.send_attempt(attempt, target, stream)).await
                    }
                    Err(refusal) => Err(refusal),
                }
            }
        };
        let result = result.map_err(|refusal| self.weaken_verdict(refusal));
        if let Some(parent) = &self.accepted.parent {
            let now = Instant::now();
            let unreachable = self.is_service_unreachable(now, &result);
            let demand = if unreachable {
                self.context.shared.metrics.count("service_cut_off");
                UNREACHABLE_DEMAND
            } else {
                self.table(|table| table.demand(now))
            };
            let overload = matches!(&result, Err(refusal) if refusal.reason().is_overload());
            let refused = overload || unreachable;
            let failed = !matches!(&result, Ok(reply) if !reply.head.status.is_server_error());
            let outcome = OnwardOutcome {
                service: self.head().service.clone(),
                demand,
                refused,
                failed,
            };
            parent.record_onward(outcome);
        }
        CallOutcome {
            result,
            retries: self.retries,
        }
    }

    /// Returns whether a call failed because no server of the service was
    /// reachable.
    fn is_service_unreachable(&self, now: Instant, result: &Result<Reply, Refusal>) -> bool {
        let unreachable = matches!(result, Err(refusal) if refusal.reason() == Reason::Unreachable);
        self.accepted.front_options.fail_fast && unreachable && {
            let tried = self.tried_guards();
            self.table(|table| is_unreachable(now, table, &tried))
        }
    }

    /// Returns the addresses of the guards that can't be tried again; a streamed call
    /// has tried none.
    fn tried_guards(&self) -> Vec<SocketAddr> {
        if self.is_stream {
            Vec::new()
        } else {
            self.trace.targets()
        }
    }

    async fn run_attempts(&mut self, body: Bytes) -> Result<Reply, Refusal> {
        let now = Instant::now();
        self.table(|table| table.retry_budget().record_call(now));
        self.refresh_ownership().await?;
        let mut last = None;
        loop {
            let (attempt, target) = match (self.choose_target(Attempt::plan()), last) {
                (Ok(found), _) => found,
                (Err(_), Some(failed)) => return Err(failed),
                (Err(refusal), None) => return Err(refusal),
            };
            let failed = match self
                .send_attempt(attempt, target, Payload::Whole(body.clone()))
                .await
            {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            let failed = match self.resolve_once(target, failed).await {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            if failed.reason() == Reason::Rejected && !self.rejecting_servers.contains(&target) {
                self.rejecting_servers.push(target);
            }
            if !self.should_retry(&failed) {
                return Err(failed);
            }
            if self.head().once.is_none() && !self.may_wait_after(&failed) {
                self.tried_targets.push(target);
            }
            self.retries += 1;
            let journal = &self.context.shared.journal;
            let reason = StepDetail::Reason(failed.reason().as_str());
            journal.record(self.head().call, CallStep::Retried, reason);
            last = Some(failed);
        }
    }

    pub(super) fn head(&self) -> &CallHead {
        &self.accepted.head
    }

    pub(super) fn table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut self.targets.lock())
    }

    /// Makes one attempt, then returns the unused retries of its grant to the
    /// account.
    async fn send_attempt(
        &self,
        attempt: Attempt<Planned>,
        target: Instance,
        body: Payload,
    ) -> Result<Reply, Refusal> {
        let grant = self.retry_source.with_account(RetryAccount::grant);
        let journal = &self.context.shared.journal;
        journal.record(self.head().call, CallStep::Sent, StepDetail::Target(target));
        self.trace.record_sent(target.address);
        let reporter = AttemptReporter::new(self, target);
        let notice = self.context.shared.notices.get(target.address);
        let result = if target == self.context.shared.instance {
            let call = self.local_call(attempt.id(), grant.retries, body, notice);
            // Boxed, so that calls to other daemons don't reserve space for it.
            Box::pin(self.context.guard.serve(call)).await
        } else {
            let outgoing = OutgoingCall {
                head: self.head(),
                granted_retries: grant.retries,
                body,
                needs_confirm: self.needs_confirmation(target),
                suspect: self.suspect(),
                notice,
                may_wait: self.may_wait,
            };
            peer::send(&self.context.pool, target, attempt, outgoing).await
        };
        if let Err(refusal) = &result {
            self.trace.record_failure(refusal.reason());
            if let Some(report) = &refusal.crash {
                let request = self.head().fingerprint;
                self.context.shared.record_crash(request, report);
            }
        }
        reporter.report(&result);
        self.settle_grant(grant, &result);
        result
    }

    /// Builds the call of one attempt for the guard on this VM.
    fn local_call(
        &self,
        attempt: AttemptId,
        granted_retries: Retries,
        body: Payload,
        notice: Option<RelayedNotice>,
    ) -> Call {
        Call {
            head: CallHead {
                attempt,
                granted_retries,
                notice,
                may_wait: self.may_wait,
                ..self.head().clone()
            },
            body,
            confirm: None,
        }
    }

    /// Returns whether the guard needs the entry's confirmation before it starts
    /// the call. This applies to calls that must not run twice, and to all calls
    /// to a guard without a recent status: it may be unreachable, and the call
    /// can then be tried elsewhere at no cost.
    fn needs_confirmation(&self, target: Instance) -> bool {
        if self.head().once.is_some() {
            return false;
        }
        let now = Instant::now();
        self.accepted.safety == RepeatSafety::Unsafe
            || !self.table(|table| table.has_recent_status(now, target))
    }

    fn settle_grant(&self, grant: RetryGrant, result: &Result<Reply, Refusal>) {
        let unused = match result {
            Ok(reply) => Some(reply.head.returned_retries),
            Err(refusal) if refusal.guard_status.is_some() => Some(refusal.returned_retries),
            Err(refusal) if refusal.verdict() == Verdict::NotRun => Some(grant.retries),
            Err(_) => None,
        };
        self.retry_source.with_account(|account| match unused {
            Some(unused) => account.reclaim(grant.id, unused),
            None => account.discard(grant.id),
        });
    }
}
