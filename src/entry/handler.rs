//! The entry of one daemon.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::request::Parts;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::Rng;
use tokio::time::{Instant, timeout_at};

use super::accept::{Accepted, accept};
use super::answer::Answering;
use super::arrival::Arrival;
use super::body::{BodyError, receive};
use super::context::Context;
use super::forward::{Ended, Forward};
use super::place::host;
use crate::call::{Attempt, Reason, Refusal};
use crate::guard::Guard;
use crate::metrics::Ending;
use crate::model::{Asked, CallId, CallerName, Fingerprint, OnceKey, ServiceName, Verdict};
use crate::peer::Pool;
use crate::policy::admission::Shed;
use crate::policy::once::OnceRefusal;
use crate::policy::retry::RepeatDetector;
use crate::policy::route::TargetState;
use crate::tables::{CallStep, Shared, StepDetail};
use crate::web::{CallerAnswer, Payload};

/// The name in metrics of callers and classes that are not declared.
const OTHER: &str = "other";

/// How long after the deadline the word of the guard is waited for, which may
/// say that the call has not run.
const LAST_WORD: Duration = Duration::from_millis(50);

/// Takes calls and brings back their answers.
pub struct Entry {
    pub(super) context: Context,
    repeats: Mutex<RepeatDetector>,
    in_flight: AtomicUsize,
    closed: AtomicBool,
}

impl Entry {
    /// Makes the entry of a daemon.
    pub fn new(shared: Arc<Shared>, guard: Arc<Guard>, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self {
            context: Context::new(shared, guard, pool),
            repeats: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
        })
    }

    /// Returns the number of calls under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Refuses all new calls of callers from now on; onward calls of calls
    /// that the backend server still works on are taken.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether new calls of callers are refused.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Serves a request; it is dropped when the caller leaves.
    pub(super) async fn handle(self: Arc<Self>, arrival: Arrival, from: IpAddr) -> CallerAnswer {
        let _counted = Counted::new(&self.in_flight);
        let shared = &self.context.shared;
        let Arrival { parts, body, came } = arrival;
        let answering = Answering::new(&*shared.protocol, &parts.headers);
        let mut accepted = match self.accept(&parts, came, from) {
            Ok(accepted) => accepted,
            Err(mut refusal) => {
                self.note_rejected(answering.id(), &refusal);
                self.context.advise(&mut refusal);
                return answering.refusal(None, &refusal, None);
            }
        };
        let call = accepted.head.call;
        shared
            .journal
            .record(call, CallStep::Entered, StepDetail::None);
        let ended = self.run_paid(&mut accepted, &parts, body).await;
        self.record(&accepted, &ended, came.elapsed());
        self.explain_end(answering.id(), &accepted, &ended, came.elapsed());
        match ended.result {
            Ok(reply) => {
                shared.journal.record(
                    call,
                    CallStep::Answered,
                    StepDetail::Status(reply.head.status),
                );
                answering.reply(call, reply)
            }
            Err(mut refusal) => {
                self.context.set_backoff(&accepted, &mut refusal);
                self.context.advise(&mut refusal);
                shared.journal.record(
                    call,
                    CallStep::Refused,
                    StepDetail::Reason(refusal.reason().as_str()),
                );
                let ticket = self.ticket(&accepted, &refusal);
                answering.refusal(Some(call), &refusal, ticket.as_ref())
            }
        }
    }

    fn accept(&self, parts: &Parts, came: Instant, from: IpAddr) -> Result<Accepted, Refusal> {
        let attempt = Attempt::plan();
        let shared = &self.context.shared;
        let Some(in_force) = shared.current.get() else {
            return Err(attempt.refuse(Reason::NoConfig, "no configuration was applied yet"));
        };
        let mut accepted = accept(parts, came, from, &in_force.estate, shared)
            .map_err(|rejected| Attempt::plan().refuse(rejected.reason, rejected.detail))?;
        if self.is_closed() && accepted.parent.is_none() {
            return Err(attempt.refuse(Reason::Shed(Shed::Leaving), "this daemon stops"));
        }
        self.context.boost_returning(&mut accepted);
        Ok(accepted)
    }

    fn note_rejected(&self, id: &str, refusal: &Refusal) {
        let shared = &self.context.shared;
        let reason = refusal.reason().as_str();
        shared.metrics.count_reason("rejected", reason);
        shared
            .metrics
            .ended(OTHER, OTHER, Ending::Failed, Duration::ZERO, 0);
        if shared.log_limiter.try_take() {
            spdlog::info!("request not taken", kv: {
                request = id,
                outcome = reason,
                detail = &*refusal.detail,
                version = shared.current.version().get()
            });
        }
    }

    /// Runs a request within the rate of its workspace.
    async fn run_paid(
        &self,
        accepted: &mut Accepted,
        parts: &Parts,
        body: Option<Incoming>,
    ) -> Ended {
        let paid = match self.context.pay(accepted).await {
            Ok(paid) => paid,
            Err(refusal) => {
                return Ended {
                    result: Err(refusal),
                    retries: 0,
                    targets: Box::default(),
                };
            }
        };
        let ended = self.run(accepted, parts, body).await;
        let ran = match &ended.result {
            Ok(_) => true,
            Err(refusal) => refusal.verdict() != Verdict::NotRun,
        };
        if let (false, Some(paid)) = (ran, paid) {
            paid.give_back();
        }
        ended
    }

    async fn run(&self, accepted: &mut Accepted, parts: &Parts, body: Option<Incoming>) -> Ended {
        let refused = |reason| Ended {
            result: Err(Attempt::plan().refuse(reason, "")),
            retries: 0,
            targets: Box::default(),
        };
        let hold = accepted.head.once.is_some();
        let deadline = accepted.head.deadline;
        let body = match timeout_at(deadline, receive(&parts.headers, body, hold)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => return refused(Reason::TooLarge),
            Ok(Err(BodyError::Cut)) => return refused(Reason::RequestCut),
            Err(_) => return refused(Reason::Shed(Shed::Deadline)),
        };
        accepted.head.fingerprint = self.fingerprint(accepted, parts, &body);
        self.note_repeat(accepted);
        let latest = accepted.head.deadline + LAST_WORD;
        // Made in place: a future that is named first is kept twice.
        match timeout_at(latest, Forward::new(&self.context, accepted).run(body)).await {
            Ok(ended) => ended,
            Err(_) => Ended {
                result: Err(Attempt::plan().send().lose(Reason::Timeout, "")),
                retries: 0,
                targets: Box::default(),
            },
        }
    }

    /// Returns what a request asks for and who asks, unless its body is yet to
    /// come.
    fn fingerprint(
        &self,
        accepted: &Accepted,
        parts: &Parts,
        body: &Payload,
    ) -> Option<Fingerprint> {
        let Payload::Whole(body) = body else {
            return None;
        };
        let asked = Asked {
            method: &parts.method,
            host: host(parts),
            target: &accepted.head.target,
            body,
        };
        // A workspace is the same caller at whichever VM it asks.
        let workspace = accepted.workspace.as_ref().map(|of| of.name.as_str());
        let caller = accepted.caller.as_ref().map(CallerName::as_str);
        let origin = self.context.shared.config.service.as_str();
        let asks = workspace.or(caller).unwrap_or(origin);
        Some(Fingerprint::of(asked, asks))
    }

    fn note_repeat(&self, accepted: &Accepted) {
        let key = accepted.head.once.as_ref().map(|once| once.key.hash());
        if self.repeats.lock().check(accepted.count, key) {
            self.context.shared.metrics.count("repeats");
        }
    }

    fn record(&self, accepted: &Accepted, ended: &Ended, latency: Duration) {
        let ending = match &ended.result {
            Ok(_) => Ending::Whole,
            Err(refusal) if matches!(refusal.reason(), Reason::Shed(_)) => Ending::Shed,
            Err(_) => Ending::Failed,
        };
        let metrics = &self.context.shared.metrics;
        if let Err(refusal) = &ended.result {
            let reason = refusal.reason().as_str();
            metrics.count_reason("refused", reason);
            let verdict = refusal.verdict().as_str();
            metrics.count_reason("verdict", verdict);
        }
        let class = accepted.head.class.as_str();
        let caller = accepted.caller.as_ref().map_or(OTHER, |c| c.as_str());
        metrics.ended(class, caller, ending, latency, ended.retries);
    }

    /// Logs how a call ended that was not answered well.
    fn explain_end(&self, id: &str, accepted: &Accepted, ended: &Ended, took: Duration) {
        let shared = &self.context.shared;
        let failed = match &ended.result {
            Ok(reply) => reply.head.status.is_server_error(),
            Err(_) => true,
        };
        if !failed || !shared.log_limiter.try_take() {
            return;
        }
        let head = &accepted.head;
        let (outcome, verdict, detail) = match &ended.result {
            Ok(reply) => ("server-failed", "ran", reply.head.status.as_str().into()),
            Err(refusal) => (
                refusal.reason().as_str(),
                refusal.verdict().as_str(),
                refusal.detail.clone(),
            ),
        };
        let left = head.deadline.saturating_duration_since(Instant::now());
        let targets: Vec<String> = ended.targets.iter().map(ToString::to_string).collect();
        let targets = targets.join(" ");
        let asks = head.fingerprint.map(|asks| asks.to_string());
        let workspace = accepted.workspace.as_ref().map(|of| of.name.as_str());
        spdlog::info!("call failed", kv: {
            request = id,
            call = head.call.to_string().as_str(),
            service = head.service.as_str(),
            class = head.class.as_str(),
            workspace = workspace.unwrap_or_default(),
            depth = head.depth.get(),
            outcome,
            verdict,
            detail = &*detail,
            asks = asks.as_deref().unwrap_or_default(),
            targets = targets.as_str(),
            retries = ended.retries,
            took_ms = took.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            version = shared.current.version().get()
        });
    }

    /// Offers a key that can be used now, where the one that was sent cannot.
    fn ticket(&self, accepted: &Accepted, refusal: &Refusal) -> Option<OnceKey> {
        match refusal.reason() {
            Reason::Once(OnceRefusal::NotOwned | OnceRefusal::NoPlatform) => {
                self.issue(&accepted.head.service)
            }
            _ => None,
        }
    }

    /// Issues a key bound to an instance of the service that takes calls.
    pub fn issue(&self, service: &ServiceName) -> Option<OnceKey> {
        let table = self.context.shared.targets.table(service);
        let table = table.lock();
        let serving: Vec<_> = table
            .targets()
            .filter(|t| t.state == TargetState::Serving)
            .map(|t| t.instance)
            .collect();
        if serving.is_empty() {
            return None;
        }
        let place = rand::rng().random_range(0..serving.len());
        Some(OnceKey::ticket(serving[place]))
    }

    /// Returns the call ids that this entry has notes on.
    pub fn explain(&self, call: CallId) -> Vec<crate::tables::JournalEntry> {
        self.context.shared.journal.find(call)
    }
}

/// Counts a call while it is under way.
struct Counted<'e>(&'e AtomicUsize);

impl<'e> Counted<'e> {
    fn new(count: &'e AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
