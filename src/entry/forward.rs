//! The attempts at one call, until it is answered or given up.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Instant;

use super::accept::Accepted;
use super::context::Context;
use crate::call::{Attempt, Call, CallHead, Planned, Reason, Refusal, Reply, Scope};
use crate::model::{AttemptId, Instance, OnceKey, Retries, Verdict};
use crate::peer::{self, Message};
use crate::policy::admission::{Met, Shed};
use crate::policy::once::{Place, Refuse, place};
use crate::policy::retry::{Account, Failure, Loan, Retry, Safety, decide};
use crate::policy::route::{Pick, Report, Table, Want};
use crate::tables::{Detail, Held, Step};
use crate::task::read_home;
use crate::web::Payload;

/// Most guards that one call is refused by before it is given up; more would
/// make refusals late.
const MAX_DETOURS: u32 = 3;

/// How often a call is asked again of backend servers that refused it. Where
/// they refuse 55 in 100, as some do for seconds, fewer than one call in two
/// hundred is refused that often in a row.
const MAX_ASKED_AGAIN: u32 = 8;

/// How a call ended, and how many retries it took here.
pub(super) struct Ended {
    pub(super) result: Result<Reply, Refusal>,
    pub(super) retries: u32,
    /// The guards that were asked, in order.
    pub(super) targets: Box<[SocketAddr]>,
}

/// The account that a call draws on: its parent's or its own.
enum Purse {
    Own(parking_lot::Mutex<Account>),
    Parent(Arc<Held>),
}

impl Purse {
    fn with<T>(&self, use_it: impl FnOnce(&mut Account) -> T) -> T {
        match self {
            Self::Own(account) => use_it(&mut account.lock()),
            Self::Parent(held) => use_it(&mut held.account.lock()),
        }
    }
}

/// One call under way at the entry.
pub(super) struct Forward<'e> {
    context: &'e Context,
    purse: Purse,
    accepted: &'e Accepted,
    retries: u32,
    /// The weakest verdict of the attempts so far.
    earlier: Verdict,
    tried: Vec<Instance>,
    /// All guards that were asked, in order.
    asked: Vec<SocketAddr>,
    /// Backend servers that refused the call without running it.
    rejected_by: Vec<Instance>,
    /// How often the call was sent to a backend server.
    sent: u32,
    /// Guards that refused it before its backend server saw it.
    detours: u32,
}

impl<'e> Forward<'e> {
    pub(super) fn new(context: &'e Context, accepted: &'e Accepted) -> Self {
        let purse = match &accepted.parent {
            Some(held) => Purse::Parent(Arc::clone(held)),
            None => Purse::Own(parking_lot::Mutex::new(Account::open(accepted.retries))),
        };
        Self {
            context,
            purse,
            accepted,
            retries: 0,
            earlier: Verdict::NotRun,
            tried: Vec::new(),
            asked: Vec::new(),
            rejected_by: Vec::new(),
            sent: 0,
            detours: 0,
        }
    }

    /// Makes attempts until the call is answered or given up.
    pub(super) async fn run(mut self, body: Payload) -> Ended {
        let result = match body {
            Payload::Whole(bytes) => self.attempts(bytes).await,
            stream @ Payload::Stream { .. } => match self.target(Attempt::plan()) {
                Ok((attempt, target)) => Box::pin(self.attempt(attempt, target, stream)).await,
                Err(refusal) => Err(refusal),
            },
        };
        let result = result.map_err(|refusal| self.weigh(refusal));
        if let Some(parent) = &self.accepted.parent {
            let now = Instant::now();
            let demand = self.table(|table| table.demand(now));
            let refused = matches!(&result, Err(refusal) if refusal.reason().is_overload());
            let failed = !matches!(&result, Ok(reply) if !reply.head.status.is_server_error());
            let met = Met {
                service: self.head().service.clone(),
                demand,
                refused,
                failed,
            };
            parent.met(met);
        }
        Ended {
            result,
            retries: self.retries,
            targets: self.asked.into(),
        }
    }

    async fn attempts(&mut self, body: Bytes) -> Result<Reply, Refusal> {
        let now = Instant::now();
        self.table(|table| table.retries().asked(now));
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
            if self.head().once.is_none() {
                self.tried.push(target);
            }
            self.retries += 1;
            let journal = &self.context.shared.journal;
            let reason = Detail::Word(failed.reason().as_str());
            journal.note(self.head().call, Step::Retried, reason);
            last = Some(failed);
        }
    }

    /// Weakens `not-run` where earlier attempts at the call may have run.
    ///
    /// Of a key that the caller may have sent before, elsewhere, only the
    /// instance that may start it can say that it was not run.
    fn weigh(&self, refusal: Refusal) -> Refusal {
        let unsure = self.head().once.is_some()
            && self.accepted.count != Some(1)
            && refusal.scope() == Scope::Attempt;
        let earlier = if unsure {
            Verdict::MayHaveRun
        } else {
            self.earlier
        };
        refusal.after(earlier)
    }

    /// Reads the home row anew if nobody owns the key by the row known here.
    ///
    /// # Errors
    ///
    /// If nobody owns it by the row just read either, nobody can have run it.
    async fn refresh_home(&self) -> Result<(), Refusal> {
        let Some(once) = &self.head().once else {
            return Ok(());
        };
        let not_owned = Place::Refused(Refuse::NotOwned);
        if self.place(&once.key) != not_owned || !self.context.may_read_home() {
            return Ok(());
        }
        let service = &self.head().service;
        if !Box::pin(read_home(&self.context.shared, service)).await
            || self.place(&once.key) != not_owned
        {
            return Ok(());
        }
        Err(Attempt::plan().refuse_once(Refuse::NotOwned).of_key())
    }

    fn head(&self) -> &CallHead {
        &self.accepted.head
    }

    /// Chooses where an attempt goes, or says why nowhere.
    fn target(&self, attempt: Attempt<Planned>) -> Result<(Attempt<Planned>, Instance), Refusal> {
        let head = self.head();
        if Instant::now() >= head.deadline {
            return Err(attempt.refuse(Reason::Shed(Shed::Deadline), ""));
        }
        if let Some(once) = &head.once {
            return match self.place(&once.key) {
                Place::At(instance) if self.may_reach(instance) => Ok((attempt, instance)),
                Place::At(_) => Err(attempt.refuse_once(Refuse::OwnerUnreachable)),
                Place::Refused(refuse) => Err(attempt.refuse_once(refuse)),
            };
        }
        let want = self.want();
        let now = Instant::now();
        let picked = self.table(|table| self.choose(table, now, want));
        match picked {
            Pick::Target(instance) => Ok((attempt, instance)),
            Pick::Refused(_) => {
                let mut refusal = attempt.refuse(Reason::Shed(Shed::Overload), "");
                refusal.retry_after = Some(self.context.retry_after());
                Err(refusal)
            }
            Pick::Nothing => Err(attempt.refuse(Reason::Unreachable, "no server takes calls")),
        }
    }

    /// Chooses a target; once the call has been sent to as many backend servers
    /// as it may, one of those that refused it without running it.
    fn choose(&self, table: &mut Table, now: Instant, want: Want) -> Pick {
        if self.rejected_by.len() >= self.accepted.attempts as usize {
            return table.choose_among(now, &self.rejected_by);
        }
        match table.choose_except(now, want, &self.tried, &mut rand::rng()) {
            Pick::Nothing if !self.rejected_by.is_empty() => {
                table.choose_among(now, &self.rejected_by)
            }
            picked => picked,
        }
    }

    fn want(&self) -> Want {
        Want {
            level: self.head().priority.level(),
            protected: self.accepted.protected,
            avoid: None,
        }
    }

    fn place(&self, key: &OnceKey) -> Place {
        let shared = &self.context.shared;
        let service = &self.head().service;
        let view = shared.view.lock();
        let home = shared.homes.get(service);
        place(key, home.as_ref().map(|home| &*home.row), &view, service)
    }

    /// Counts an attempt as sent to the only instance that may take it, unless
    /// that has failed too often just now.
    fn may_reach(&self, instance: Instance) -> bool {
        let now = Instant::now();
        self.table(|table| {
            let admits = table.admits(now, instance);
            if admits {
                table.sent(instance);
            }
            admits
        })
    }

    fn table<T>(&self, use_it: impl FnOnce(&mut Table) -> T) -> T {
        let table = self.context.shared.routes.table(&self.head().service);
        let mut table = table.lock();
        use_it(&mut table)
    }

    /// Makes one attempt; what it did not use of its loan comes home.
    async fn attempt(
        &self,
        attempt: Attempt<Planned>,
        target: Instance,
        body: Payload,
    ) -> Result<Reply, Refusal> {
        let loan = self.purse.with(Account::lend);
        let journal = &self.context.shared.journal;
        journal.note(self.head().call, Step::Sent, Detail::Target(target));
        let sent = Sending {
            forward: self,
            target,
            reported: false,
        };
        let result = if target == self.context.shared.instance {
            let call = self.call(attempt.id(), loan.retries, body);
            // On the heap, so that calls to other daemons need no room for it.
            Box::pin(self.context.guard.serve(call)).await
        } else {
            let message = Message {
                head: self.head(),
                account: loan.retries,
                body,
                held: self.holds(target),
            };
            peer::send(&self.context.pool, target, attempt, message).await
        };
        sent.report(&result);
        self.settle(loan, &result);
        result
    }

    /// Makes the call of one attempt for the guard of this VM.
    fn call(&self, attempt: AttemptId, account: Retries, body: Payload) -> Call {
        Call {
            head: CallHead {
                attempt,
                account,
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
        self.accepted.safety == Safety::Once || !self.table(|table| table.is_fresh(now, target))
    }

    fn settle(&self, loan: Loan, result: &Result<Reply, Refusal>) {
        let rest = match result {
            Ok(reply) => Some(reply.head.account),
            Err(refusal) if refusal.news.is_some() => Some(refusal.account),
            Err(refusal) if refusal.verdict() == Verdict::NotRun => Some(loan.retries),
            Err(_) => None,
        };
        self.purse.with(|account| match rest {
            Some(rest) => account.settle(loan.id, rest),
            None => account.write_off(loan.id),
        });
    }

    /// Asks the same instance what became of a once call that was lost, and
    /// follows a claim to the instance that holds it.
    async fn after_once(&mut self, target: Instance, failed: Refusal) -> Result<Reply, Refusal> {
        let Some(once) = &self.head().once else {
            return Err(failed);
        };
        if failed.reason() == Reason::Once(Refuse::WrongOwner) {
            return Box::pin(self.follow(&once.key, failed)).await;
        }
        let lost = matches!(failed.reason(), Reason::Cut | Reason::Garbage);
        if !lost || failed.verdict() != Verdict::MayHaveRun {
            return Err(failed);
        }
        let asked = Box::pin(self.inquire(target, &once.key)).await;
        match asked {
            Err(answer) if answer.reason() == Reason::Once(Refuse::Unseen) => Err(failed),
            Err(answer) => Err(answer.after(Verdict::MayHaveRun)),
            other => other,
        }
    }

    async fn inquire(&self, target: Instance, key: &OnceKey) -> Result<Reply, Refusal> {
        let head = self.head();
        let pool = &self.context.pool;
        peer::inquire(pool, target, &head.service, key, head.deadline).await
    }

    /// Learns the outcome from the instance that a claim names.
    async fn follow(&self, key: &OnceKey, failed: Refusal) -> Result<Reply, Refusal> {
        let Ok(owner) = failed.detail.parse::<Instance>() else {
            return Err(failed);
        };
        match self.inquire(owner, key).await {
            Ok(reply) => Ok(reply),
            Err(answer) => Err(answer.after(Verdict::MayHaveRun)),
        }
    }

    /// Decides on another attempt after one failed.
    fn again(&mut self, failed: &Refusal) -> bool {
        let head = &self.accepted.head;
        if failed.verdict() == Verdict::MayHaveRun {
            self.earlier = Verdict::MayHaveRun;
        }
        if failed.arrived() {
            self.sent += 1;
        } else if head.once.is_none() {
            return self.detour(failed);
        }
        // A lost once call is repeated at the same instance, whose ledger
        // keeps it from running twice.
        let once_again =
            head.once.is_some() && matches!(failed.reason(), Reason::Cut | Reason::Unreachable);
        if !once_again && !failed.reason().may_differ_elsewhere() {
            return false;
        }
        // A call that every server has refused may be asked of them again; one
        // that may have run counts against the servers it may be sent to.
        let most = match failed.reason() {
            Reason::Rejected => self.accepted.attempts + MAX_ASKED_AGAIN,
            _ => self.accepted.attempts,
        };
        if self.sent >= most {
            return false;
        }
        let verdict = if once_again {
            Verdict::NotRun
        } else {
            failed.verdict()
        };
        let failure = Failure {
            verdict,
            overload: failed.reason().is_overload(),
            left: head.deadline.saturating_duration_since(Instant::now()),
        };
        let safety = self.accepted.safety;
        let now = Instant::now();
        let (level, root) = (head.priority.level(), head.root);
        self.table(|table| {
            self.purse.with(|account| {
                decide(failure, safety, account, || {
                    table.retries().take(now, level, root)
                })
            })
        }) == Retry::Again
    }
}

impl Forward<'_> {
    /// Learns whether callers' own calls of this class make others.
    fn learn(&self, table: &mut Table, reply: &Reply) {
        let own = self.accepted.parent.is_none() && self.head().once.is_none();
        if own && !reply.head.status.is_server_error() {
            table.own_call(self.head().priority.rank(), reply.head.onward);
        }
    }

    /// Decides whether a call that no backend server has seen is tried at
    /// another guard; that is no retry, since nothing was asked of a server.
    fn detour(&mut self, failed: &Refusal) -> bool {
        let reason = failed.reason();
        let elsewhere = reason.may_differ_elsewhere() || reason.is_overload();
        self.detours += 1;
        elsewhere && self.detours <= MAX_DETOURS
    }
}

/// Reports to the table of targets how an attempt ended, also if the caller
/// went away first.
struct Sending<'f> {
    forward: &'f Forward<'f>,
    target: Instance,
    reported: bool,
}

impl Sending<'_> {
    fn report(mut self, result: &Result<Reply, Refusal>) {
        let news = match result {
            Ok(reply) => Some(reply.head.news),
            Err(refusal) => refusal.news,
        };
        let report = match news {
            Some(news) if matches!(result, Err(r) if r.reason() == Reason::Rejected) => {
                Report::Rejected(news)
            }
            Some(news) => Report::Heard(news),
            None if matches!(result, Err(refusal) if refusal.reason().is_silence()) => {
                Report::Silent
            }
            None => Report::Failed,
        };
        let now = Instant::now();
        self.forward.table(|table| {
            table.report(now, self.target, report);
            if let Ok(reply) = result {
                table.retries().answered();
                self.forward.learn(table, reply);
            }
        });
        self.reported = true;
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        if !self.reported {
            let now = Instant::now();
            self.forward
                .table(|table| table.report(now, self.target, Report::Abandoned));
        }
    }
}
