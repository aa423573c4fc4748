//! The entry of one daemon: handling of requests from arrival to answer.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::request::Parts;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::accept::{AcceptedRequest, accept};
use super::answer::AnswerBuilder;
use super::arrival::Arrival;
use super::body::{BodyError, ChargedBody, RequestBody, read_body};
use super::call_trace::CallTrace;
use super::context::Context;
use super::forward::{CallOutcome, ForwardedCall};
use super::route_match::request_host;
use crate::call::{Attempt, Reason, Refusal};
use crate::guard::Guard;
use crate::metrics::CallStatus;
use crate::model::{
    CallId, CallerName, Fingerprint, OnceKey, RequestContent, ServiceName, Verdict,
};
use crate::peer::Pool;
use crate::policy::admission::Shed;
use crate::policy::drain::OnwardDrain;
use crate::policy::once::OnceRefusal;
use crate::policy::retry::RepeatDetector;
use crate::policy::route::TargetState;
use crate::tables::{CallStep, LineKind, Shared, StepDetail, signed_ms};
use crate::web::{CallerAnswer, Payload};

/// Metric label of callers and classes that are not declared.
const OTHER_LABEL: &str = "other";

/// How long after the deadline the entry waits for the guard, which may still
/// report that the call has not run.
const VERDICT_GRACE: Duration = Duration::from_millis(90);

/// Accepts requests of callers, forwards them and returns the answers.
pub struct Entry {
    pub(super) context: Context,
    repeat_detector: Mutex<RepeatDetector>,
    in_flight: AtomicUsize,
    closed: AtomicBool,
    onward_drain: OnceLock<OnwardDrain>,
    calls_ended: AtomicBool,
    calls_end: Notify,
}

impl Entry {
    /// Creates the entry of a daemon.
    pub fn new(shared: Arc<Shared>, guard: Arc<Guard>, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self {
            context: Context::new(shared, guard, pool),
            repeat_detector: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            onward_drain: OnceLock::new(),
            calls_ended: AtomicBool::new(false),
            calls_end: Notify::new(),
        })
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Refuses new calls of callers from now on. Onward calls of parent calls
    /// that are still running are accepted.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Refuses new onward calls that may not end before the drain does.
    pub fn drain_onward(&self, drain: OnwardDrain) {
        self.onward_drain.get_or_init(|| drain);
    }

    /// Gives up all calls that are not answered yet, so that their callers get an answer
    /// before their connections end with the process.
    pub fn end_calls(&self) {
        self.calls_ended.store(true, Ordering::SeqCst);
        self.calls_end.notify_waiters();
    }

    /// Waits until all calls are given up.
    async fn wait_calls_end(&self) {
        // Created first: it is notified of each end after that.
        let end = self.calls_end.notified();
        if !self.calls_ended.load(Ordering::SeqCst) {
            end.await;
        }
    }

    /// Returns whether new calls of callers are refused.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Handles a request. The future is dropped if the caller disconnects.
    pub(super) async fn handle(self: Arc<Self>, arrival: Arrival, from: IpAddr) -> CallerAnswer {
        let _in_flight = InFlightCount::new(&self.in_flight);
        let shared = &self.context.shared;
        let Arrival {
            parts,
            body,
            arrived_at,
            holder,
        } = arrival;
        let answers = AnswerBuilder::new(&*shared.protocol, &parts.headers);
        let trace = CallTrace::default();
        let mut undecided = UndecidedRequest {
            shared,
            id: answers.id(),
            arrived_at,
            trace: &trace,
            is_decided: false,
        };
        let mut accepted = match self.accept(&parts, arrived_at, from) {
            Ok(accepted) => accepted,
            Err(mut refusal) => {
                self.record_rejected(answers.id(), &refusal);
                self.context.add_retry_after(&mut refusal);
                undecided.is_decided = true;
                return answers.refusal(None, &refusal, None);
            }
        };
        let call = accepted.head.call;
        shared
            .journal
            .record(call, CallStep::Entered, StepDetail::None);
        let body = RequestBody {
            incoming: body,
            holder: &holder,
        };
        let outcome = tokio::select! {
            biased;
            outcome = self.run_within_rate(&mut accepted, &parts, body, &trace) => outcome,
            () = self.wait_calls_end() => CallOutcome::given_up("this daemon ends"),
        };
        undecided.is_decided = true;
        self.record_metrics(&accepted, &outcome, arrived_at.elapsed());
        self.log_failure(FailedCall {
            id: answers.id(),
            accepted: &accepted,
            outcome: &outcome,
            trace: &trace,
            latency: arrived_at.elapsed(),
        });
        match outcome.result {
            Ok(reply) => {
                shared.journal.record(
                    call,
                    CallStep::Answered,
                    StepDetail::Status(reply.head.status),
                );
                answers.reply(call, reply)
            }
            Err(mut refusal) => {
                self.context.set_backoff(&accepted, &mut refusal);
                self.context.add_retry_after(&mut refusal);
                shared.journal.record(
                    call,
                    CallStep::Refused,
                    StepDetail::Reason(refusal.reason().as_str()),
                );
                let ticket = self.replacement_ticket(&accepted, &refusal);
                answers.refusal(Some(call), &refusal, ticket.as_ref())
            }
        }
    }

    fn accept(
        &self,
        parts: &Parts,
        arrived_at: Instant,
        from: IpAddr,
    ) -> Result<AcceptedRequest, Refusal> {
        let attempt = Attempt::plan();
        let shared = &self.context.shared;
        let Some(configuration) = shared.current.get() else {
            return Err(attempt.refuse(Reason::NoConfig, "no configuration has been applied yet"));
        };
        let mut accepted = accept(parts, arrived_at, from, &configuration.estate, shared)
            .map_err(|rejected| Attempt::plan().refuse(rejected.reason, rejected.detail))?;
        let is_closed = match (&accepted.parent, self.onward_drain.get()) {
            (Some(_), Some(drain)) => !drain.accepts(arrived_at, accepted.head.deadline),
            (Some(_), None) => false,
            (None, _) => self.is_closed(),
        };
        if is_closed {
            return Err(attempt.refuse(Reason::Shed(Shed::Leaving), "this daemon is shutting down"));
        }
        self.context.boost_retry(&mut accepted);
        Ok(accepted)
    }

    fn record_rejected(&self, id: &str, refusal: &Refusal) {
        let shared = &self.context.shared;
        let reason = refusal.reason().as_str();
        shared.metrics.count_reason("rejected", reason);
        shared.metrics.record_call(
            OTHER_LABEL,
            OTHER_LABEL,
            CallStatus::Failed,
            Duration::ZERO,
            0,
        );
        if shared.may_log(LineKind::Refused) {
            spdlog::info!("request rejected", kv: {
                request = id,
                outcome = reason,
                detail = &*refusal.detail,
                version = shared.current.version().get()
            });
        }
    }

    /// Runs a request if the rate limit of its workspace allows it.
    async fn run_within_rate(
        &self,
        accepted: &mut AcceptedRequest,
        parts: &Parts,
        body: RequestBody<'_>,
        trace: &CallTrace,
    ) -> CallOutcome {
        let charge = match self.context.charge_credit(accepted).await {
            Ok(charge) => charge,
            Err(refusal) => {
                return CallOutcome {
                    result: Err(refusal),
                    retries: 0,
                };
            }
        };
        let outcome = self.run(accepted, parts, body, trace).await;
        let may_have_run = match &outcome.result {
            Ok(_) => true,
            Err(refusal) => refusal.verdict() != Verdict::NotRun,
        };
        if let (false, Some(charge)) = (may_have_run, charge) {
            charge.refund();
        }
        outcome
    }

    async fn run(
        &self,
        accepted: &mut AcceptedRequest,
        parts: &Parts,
        body: RequestBody<'_>,
        trace: &CallTrace,
    ) -> CallOutcome {
        let refused = |reason| CallOutcome {
            result: Err(Attempt::plan().refuse(reason, "")),
            retries: 0,
        };
        let must_buffer = accepted.head.once.is_some();
        let deadline = accepted.head.deadline;
        let reading = read_body(&parts.headers, body, must_buffer);
        let ChargedBody {
            payload: body,
            charge: _charge,
        } = match timeout_at(deadline, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::NoRoom)) => return refused(Reason::Shed(Shed::Memory)),
            Ok(Err(BodyError::TooLarge)) => return refused(Reason::TooLarge),
            Ok(Err(BodyError::Incomplete)) => return refused(Reason::IncompleteRequest),
            Err(_) => return refused(Reason::Shed(Shed::Deadline)),
        };
        accepted.head.fingerprint = self.fingerprint(accepted, parts, &body);
        self.count_repeat(accepted);
        let latest = accepted.head.deadline + VERDICT_GRACE;
        // Built inline: a future bound to a variable first would be stored twice.
        timeout_at(
            latest,
            ForwardedCall::new(&self.context, accepted, trace).run(body),
        )
        .await
        .unwrap_or_else(|_| CallOutcome::given_up(""))
    }

    /// Returns the fingerprint of a request and its caller, unless the body is
    /// streamed.
    fn fingerprint(
        &self,
        accepted: &AcceptedRequest,
        parts: &Parts,
        body: &Payload,
    ) -> Option<Fingerprint> {
        let Payload::Whole(body) = body else {
            return None;
        };
        let request = RequestContent {
            method: &parts.method,
            host: request_host(parts),
            target: &accepted.head.target,
            body,
        };
        // A workspace is the same caller, whichever VM sends the request.
        let workspace = accepted
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str());
        let caller = accepted.caller.as_ref().map(CallerName::as_str);
        let origin = self.context.shared.config.service.as_str();
        let caller_id = workspace.or(caller).unwrap_or(origin);
        Some(Fingerprint::of(request, caller_id))
    }

    fn count_repeat(&self, accepted: &AcceptedRequest) {
        let key = accepted.head.once.as_ref().map(|once| once.key.hash());
        if self
            .repeat_detector
            .lock()
            .check(accepted.attempt_number, key)
        {
            self.context.shared.metrics.count("repeats");
        }
    }

    fn record_metrics(&self, accepted: &AcceptedRequest, outcome: &CallOutcome, latency: Duration) {
        let ending = match &outcome.result {
            Ok(_) => CallStatus::Complete,
            Err(refusal) if matches!(refusal.reason(), Reason::Shed(_)) => CallStatus::Shed,
            Err(_) => CallStatus::Failed,
        };
        let metrics = &self.context.shared.metrics;
        if let Err(refusal) = &outcome.result {
            let reason = refusal.reason().as_str();
            metrics.count_reason("refused", reason);
            let verdict = refusal.verdict().as_str();
            metrics.count_reason("verdict", verdict);
        }
        let class = accepted.head.class.as_str();
        let caller = accepted.caller.as_ref().map_or(OTHER_LABEL, |c| c.as_str());
        metrics.record_call(class, caller, ending, latency, outcome.retries);
    }

    /// Logs a call that was refused or answered with a server error.
    fn log_failure(&self, failed: FailedCall<'_>) {
        let shared = &self.context.shared;
        let (is_failure, kind) = match &failed.outcome.result {
            Ok(reply) => (reply.head.status.is_server_error(), LineKind::Refused),
            Err(refusal) if refusal.verdict() == Verdict::MayHaveRun => (true, LineKind::Sent),
            Err(_) => (true, LineKind::Refused),
        };
        if !is_failure || !shared.may_log(kind) {
            return;
        }
        let head = &failed.accepted.head;
        let (outcome, verdict, detail) = match &failed.outcome.result {
            Ok(reply) => ("server-failed", "ran", reply.head.status.as_str().into()),
            Err(refusal) => (
                refusal.reason().as_str(),
                refusal.verdict().as_str(),
                refusal.detail.clone(),
            ),
        };
        let now = Instant::now();
        let attempts = failed.trace.summary();
        let parent = failed.accepted.parent.as_ref();
        let parent_id = parent.map(|parent| parent.id.to_string());
        let fingerprint = head.fingerprint.map(|digest| digest.to_string());
        let workspace = failed
            .accepted
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_str());
        spdlog::info!("call failed", kv: {
            request = failed.id,
            call = head.call.to_string().as_str(),
            service = head.service.as_str(),
            class = head.class.as_str(),
            workspace = workspace.unwrap_or_default(),
            depth = head.depth.get(),
            parent = parent_id.as_deref().unwrap_or_default(),
            parent_left_ms = parent.map_or(0, |parent| signed_ms(parent.deadline, now)),
            outcome,
            verdict,
            detail = &*detail,
            asks = fingerprint.as_deref().unwrap_or_default(),
            targets = attempts.targets.as_str(),
            earlier = attempts.earlier.as_str(),
            sent_ms = attempts.sent_ms,
            retries = failed.outcome.retries,
            took_ms = failed.latency.as_millis() as u64,
            left_ms = head.deadline.saturating_duration_since(now).as_millis() as u64,
            stopping = shared.readiness.is_stopping(),
            version = shared.current.version().get()
        });
    }

    /// Returns a key that can be used now if the key of the request can't.
    fn replacement_ticket(&self, accepted: &AcceptedRequest, refusal: &Refusal) -> Option<OnceKey> {
        match refusal.reason() {
            Reason::Once(OnceRefusal::NotOwned | OnceRefusal::NoPlatform) => {
                self.issue_ticket(&accepted.head.service)
            }
            _ => None,
        }
    }

    /// Issues a key bound to a serving instance of the service.
    pub fn issue_ticket(&self, service: &ServiceName) -> Option<OnceKey> {
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
        let index = rand::rng().random_range(0..serving.len());
        Some(OnceKey::ticket(serving[index]))
    }

    /// Returns the notes on a call in the journal of this daemon.
    pub fn explain(&self, call: CallId) -> Vec<crate::tables::JournalEntry> {
        self.context.shared.journal.find(call)
    }
}

/// Counts a call as in flight until it is dropped.
struct InFlightCount<'e>(&'e AtomicUsize);

impl<'e> InFlightCount<'e> {
    fn new(count: &'e AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for InFlightCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A call for which the entry logs a failure.
struct FailedCall<'r> {
    /// The caller's id of the request.
    id: &'r str,
    accepted: &'r AcceptedRequest,
    outcome: &'r CallOutcome,
    trace: &'r CallTrace,
    latency: Duration,
}

/// Counts a request that is dropped before its answer is decided: its caller
/// disconnected, or the process ends. Logs it while the daemon stops or has just
/// started.
struct UndecidedRequest<'r> {
    shared: &'r Shared,
    id: &'r str,
    arrived_at: Instant,
    trace: &'r CallTrace,
    is_decided: bool,
}

impl Drop for UndecidedRequest<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let shared = self.shared;
        let is_sent = self.trace.is_open();
        shared.metrics.count_dropped(is_sent);
        let may_log = shared.readiness.is_changing();
        if may_log && shared.may_log(LineKind::Dropped) {
            let attempts = self.trace.summary();
            spdlog::warn!("request dropped", kv: {
                request = self.id,
                sent = is_sent,
                targets = attempts.targets.as_str(),
                earlier = attempts.earlier.as_str(),
                sent_ms = attempts.sent_ms,
                took_ms = self.arrived_at.elapsed().as_millis() as u64,
                stopping = shared.readiness.is_stopping()
            });
        }
    }
}
