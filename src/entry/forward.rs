//! The attempts at one call, until it is answered or given up.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::accept::Accepted;
use super::context::Context;
use super::purse::Purse;
use super::sending::Sending;
use crate::call::{Attempt, Call, CallHead, Planned, Reason, Refusal, Reply};
use crate::model::{AttemptId, Instance, Retries, Told, Verdict};
use crate::peer::{self, Message};
use crate::policy::admission::OnwardOutcome;
use crate::policy::front::{UNREACHABLE_DEMAND, is_unreachable};
use crate::policy::retry::{RepeatSafety, RetryAccount, RetryGrant};
use crate::policy::route::Table;
use crate::tables::{CallStep, StepDetail};
use crate::web::Payload;

/// How a call ended, and how many retries it took here.
pub(super) struct Ended {
    pub(super) result: Result<Reply, Refusal>,
    pub(super) retries: u32,
    /// The guards that were asked, in order.
    pub(super) targets: Box<[SocketAddr]>,
}

/// One call under way at the entry.
pub(super) struct Forward<'e> {
    pub(super) context: &'e Context,
    pub(super) purse: Purse,
    pub(super) accepted: &'e Accepted,
    /// The targets of the service that is called.
    targets: Arc<Mutex<Table>>,
    pub(super) retries: u32,
    /// The weakest verdict of the attempts so far.
    pub(super) earlier: Verdict,
    pub(super) tried: Vec<Instance>,
    /// All guards that were asked, in order.
    pub(super) asked: Vec<SocketAddr>,
    /// Backend servers that refused the call without running it.
    pub(super) rejected_by: Vec<Instance>,
    /// How often the call was sent to a backend server.
    pub(super) sent: u32,
    /// Guards that refused it before its backend server saw it.
    pub(super) detours: u32,
    /// Whether it waits for the rate that a backend server named, since no
    /// other one has room.
    pub(super) waits: bool,
}

impl<'e> Forward<'e> {
    pub(super) fn new(context: &'e Context, accepted: &'e Accepted) -> Self {
        let purse = match &accepted.parent {
            Some(held) => Purse::Parent(Arc::clone(held)),
            None => Purse::Own(Mutex::new(RetryAccount::new(accepted.retries))),
        };
        Self {
            context,
            purse,
            accepted,
            targets: context.shared.targets.table(&accepted.head.service),
            retries: 0,
            earlier: Verdict::NotRun,
            tried: Vec::new(),
            asked: Vec::new(),
            rejected_by: Vec::new(),
            sent: 0,
            detours: 0,
            waits: false,
        }
    }

    /// Makes attempts until the call is answered or given up.
    pub(super) async fn run(mut self, body: Payload) -> Ended {
        let result = match body {
            Payload::Whole(bytes) => self.attempts(bytes).await,
            stream @ Payload::Stream { .. } => {
                // It can't be sent elsewhere once it has begun.
                self.waits = true;
                match self.target(Attempt::plan()) {
                    Ok((attempt, target)) => Box::pin(self.attempt(attempt, target, stream)).await,
                    Err(refusal) => Err(refusal),
                }
            }
        };
        let result = result.map_err(|refusal| self.weigh(refusal));
        if let Some(parent) = &self.accepted.parent {
            let now = Instant::now();
            let cut_off = self.is_cut_off(now, &result);
            let demand = if cut_off {
                self.context.shared.metrics.count("service_cut_off");
                UNREACHABLE_DEMAND
            } else {
                self.table(|table| table.demand(now))
            };
            let overload = matches!(&result, Err(refusal) if refusal.reason().is_overload());
            let refused = overload || cut_off;
            let failed = !matches!(&result, Ok(reply) if !reply.head.status.is_server_error());
            let met = OnwardOutcome {
                service: self.head().service.clone(),
                demand,
                refused,
                failed,
            };
            parent.record_onward(met);
        }
        Ended {
            result,
            retries: self.retries,
            targets: self.asked.into(),
        }
    }

    /// Tells whether a call failed since no server of the service was in reach.
    fn is_cut_off(&self, now: Instant, result: &Result<Reply, Refusal>) -> bool {
        let unreachable = matches!(result, Err(refusal) if refusal.reason() == Reason::Unreachable);
        self.accepted.options.fail_fast
            && unreachable
            && self.table(|table| is_unreachable(now, table, &self.asked))
    }

    async fn attempts(&mut self, body: Bytes) -> Result<Reply, Refusal> {
        let now = Instant::now();
        self.table(|table| table.retry_budget().record_call(now));
        self.refresh_home().await?;
        let mut last = None;
        loop {
            let (attempt, target) = match (self.target(Attempt::plan()), last) {
                (Ok(found), _) => found,
                (Err(_), Some(failed)) => return Err(failed),
                (Err(refusal), None) => return Err(refusal),
            };
            self.asked.push(target.address);
            let failed = match self
                .attempt(attempt, target, Payload::Whole(body.clone()))
                .await
            {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            let failed = match self.after_once(target, failed).await {
                Ok(reply) => return Ok(reply),
                Err(refusal) => refusal,
            };
            if failed.reason() == Reason::Rejected && !self.rejected_by.contains(&target) {
                self.rejected_by.push(target);
            }
            if !self.again(&failed) {
                return Err(failed);
            }
            if self.head().once.is_none() && !self.may_wait_after(&failed) {
                self.tried.push(target);
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

    pub(super) fn table<T>(&self, use_it: impl FnOnce(&mut Table) -> T) -> T {
        use_it(&mut self.targets.lock())
    }

    /// Makes one attempt; what it did not use of its loan comes home.
    async fn attempt(
        &self,
        attempt: Attempt<Planned>,
        target: Instance,
        body: Payload,
    ) -> Result<Reply, Refusal> {
        let loan = self.purse.with(RetryAccount::grant);
        let journal = &self.context.shared.journal;
        journal.record(self.head().call, CallStep::Sent, StepDetail::Target(target));
        let sent = Sending::new(self, target);
        let told = self.context.shared.notices.get(target.address);
        let result = if target == self.context.shared.instance {
            let call = self.call(attempt.id(), loan.retries, body, told);
            // On the heap, so that calls to other daemons need no room for it.
            Box::pin(self.context.guard.serve(call)).await
        } else {
            let message = Message {
                head: self.head(),
                account: loan.retries,
                body,
                held: self.holds(target),
                suspect: self.suspect(),
                told,
                waits: self.waits,
            };
            peer::send(&self.context.pool, target, attempt, message).await
        };
        if let Some(crash) = result.as_ref().err().and_then(|refusal| refusal.crash) {
            self.context
                .shared
                .record_crash(self.head().fingerprint, crash);
        }
        sent.report(&result);
        self.settle(loan, &result);
        result
    }

    /// Makes the call of one attempt for the guard of this VM.
    fn call(
        &self,
        attempt: AttemptId,
        account: Retries,
        body: Payload,
        told: Option<Told>,
    ) -> Call {
        Call {
            head: CallHead {
                attempt,
                account,
                told,
                waits: self.waits,
                ..self.head().clone()
            },
            body,
            confirm: None,
        }
    }

    /// Tells whether the guard asks before it starts the call: one that must
    /// not run twice, and any to a guard that may be out of reach, so that it
    /// can be tried elsewhere at no cost.
    fn holds(&self, target: Instance) -> bool {
        if self.head().once.is_some() {
            return false;
        }
        let now = Instant::now();
        self.accepted.safety == RepeatSafety::Unsafe
            || !self.table(|table| table.has_recent_status(now, target))
    }

    fn settle(&self, loan: RetryGrant, result: &Result<Reply, Refusal>) {
        let rest = match result {
            Ok(reply) => Some(reply.head.account),
            Err(refusal) if refusal.news.is_some() => Some(refusal.account),
            Err(refusal) if refusal.verdict() == Verdict::NotRun => Some(loan.retries),
            Err(_) => None,
        };
        self.purse.with(|account| match rest {
            Some(rest) => account.reclaim(loan.id, rest),
            None => account.discard(loan.id),
        });
    }
}
