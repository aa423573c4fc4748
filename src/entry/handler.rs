//! The entry of one daemon.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use tokio::time::Instant;
use xitca_web::body::RequestBody;

use super::accept::{Accepted, accept};
use super::body::{BodyError, receive};
use super::forward::{Ended, Forward};
use super::{answer, header};
use crate::call::{Attempt, Reason, Refusal};
use crate::error::Error;
use crate::guard::Guard;
use crate::metrics::Ending;
use crate::model::{CallId, OnceKey, ServiceName};
use crate::peer::Pool;
use crate::policy::admission::Shed;
use crate::policy::member::Budget;
use crate::policy::once::Refuse;
use crate::policy::retry::Repeats;
use crate::tables::{Shared, Step};
use crate::web::{HttpRequest, HttpResponse, Running, serve};

/// The name in metrics of callers and classes that are not declared.
const OTHER: &str = "other";

/// Home rows a second and at once that one entry may read for callers.
const HOME_RATE: f64 = 1.0;
const HOME_BURST: f64 = 4.0;

/// Takes calls and brings back their answers.
pub struct Entry {
    pub(super) shared: Arc<Shared>,
    pub(super) guard: Arc<Guard>,
    pub(super) pool: Arc<Pool>,
    repeats: Mutex<Repeats>,
    home_reads: Mutex<Budget>,
    in_flight: AtomicUsize,
    closed: AtomicBool,
}

impl Entry {
    /// Makes the entry of a daemon.
    pub fn new(shared: Arc<Shared>, guard: Arc<Guard>, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            guard,
            pool,
            repeats: Mutex::default(),
            home_reads: Mutex::new(Budget::new(Instant::now(), HOME_RATE, HOME_BURST)),
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

    /// Takes leave to read a home row from the platform.
    pub(super) fn may_read_home(&self) -> bool {
        self.home_reads.lock().take(Instant::now())
    }

    /// Returns when a refused caller may come back, spread at random.
    pub(super) fn retry_after(&self) -> Duration {
        Duration::from_secs(1).mul_f64(rand::rng().random_range(0.5..1.5))
    }

    async fn handle(self: Arc<Self>, request: HttpRequest) -> HttpResponse {
        let _counted = Counted::new(&self.in_flight);
        let (parts, ext) = request.into_parts();
        let from = ext.socket_addr().ip();
        let (_, body) = ext.replace_body(());
        let accepted = match self.accept(&parts, from) {
            Ok(accepted) => accepted,
            Err(refusal) => return self.reject(&refusal),
        };
        let call = accepted.head.call;
        let journal = &self.shared.journal;
        journal.note(call, Step::Entered, accepted.head.service.as_str());
        let started = Instant::now();
        let ended = self.run(&parts.headers, &accepted, body).await;
        self.record(&accepted, &ended, started.elapsed());
        match ended.result {
            Ok(reply) => {
                journal.note(call, Step::Answered, reply.head.status.as_str());
                answer::of_reply(call, reply)
            }
            Err(refusal) => {
                journal.note(call, Step::Refused, refusal.reason().as_str());
                let ticket = self.ticket(&accepted, &refusal);
                answer::of_refusal(Some(call), &refusal, ticket.as_ref())
            }
        }
    }

    fn accept(&self, parts: &http::request::Parts, from: IpAddr) -> Result<Accepted, Refusal> {
        let attempt = Attempt::plan();
        let Some(in_force) = self.shared.current.get() else {
            return Err(attempt.refuse(Reason::NoConfig, "no configuration was applied yet"));
        };
        let accepted = accept(parts, from, &in_force.estate, &self.shared.calls)
            .map_err(|rejected| Attempt::plan().refuse(rejected.reason, rejected.detail))?;
        if self.closed.load(Ordering::SeqCst) && accepted.parent.is_none() {
            return Err(attempt.refuse(Reason::Shed(Shed::Leaving), "this daemon stops"));
        }
        Ok(accepted)
    }

    fn reject(&self, refusal: &Refusal) -> HttpResponse {
        let reason = refusal.reason();
        self.shared
            .metrics
            .count_reason("rejected", reason.as_str());
        self.shared
            .metrics
            .ended(OTHER, OTHER, Ending::Failed, Duration::ZERO, 0);
        answer::of_refusal(None, refusal, None)
    }

    async fn run(
        &self,
        headers: &http::HeaderMap,
        accepted: &Accepted,
        body: RequestBody,
    ) -> Ended {
        let refused = |reason| Ended {
            result: Err(Attempt::plan().refuse(reason, "")),
            retries: 0,
        };
        let hold = accepted.head.once.is_some();
        let body = receive(headers, body, hold);
        let body = match tokio::time::timeout_at(accepted.head.deadline, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLarge)) => return refused(Reason::TooLarge),
            Ok(Err(BodyError::Cut)) => return refused(Reason::RequestCut),
            Err(_) => return refused(Reason::Shed(Shed::Deadline)),
        };
        self.note_repeat(headers, accepted);
        Forward::new(self, accepted).run(body).await
    }

    fn note_repeat(&self, headers: &http::HeaderMap, accepted: &Accepted) {
        let key = accepted.head.once.as_ref().map(|once| once.key.hash());
        let attempt = header::attempt(headers);
        if self.repeats.lock().check(attempt, key) {
            self.shared.metrics.count("repeats");
        }
    }

    fn record(&self, accepted: &Accepted, ended: &Ended, latency: Duration) {
        let ending = match &ended.result {
            Ok(_) => Ending::Whole,
            Err(refusal) if matches!(refusal.reason(), Reason::Shed(_)) => Ending::Shed,
            Err(_) => Ending::Failed,
        };
        if let Err(refusal) = &ended.result {
            let reason = refusal.reason().as_str();
            self.shared.metrics.count_reason("refused", reason);
            let verdict = refusal.verdict().as_str();
            self.shared.metrics.count_reason("verdict", verdict);
        }
        let class = accepted.head.class.as_str();
        let caller = accepted.caller.as_ref().map_or(OTHER, |c| c.as_str());
        self.shared
            .metrics
            .ended(class, caller, ending, latency, ended.retries);
    }

    /// Offers a key that can be used now, where the one that was sent cannot.
    fn ticket(&self, accepted: &Accepted, refusal: &Refusal) -> Option<OnceKey> {
        match refusal.reason() {
            Reason::Once(Refuse::NotOwned | Refuse::NoPlatform) => {
                self.issue(&accepted.head.service)
            }
            _ => None,
        }
    }

    /// Issues a key bound to an instance of the service that takes calls.
    pub fn issue(&self, service: &ServiceName) -> Option<OnceKey> {
        let table = self.shared.routes.table(service);
        let table = table.lock();
        let serving: Vec<_> = table
            .targets()
            .filter(|t| t.state == crate::policy::route::TargetState::Serving)
            .map(|t| t.instance)
            .collect();
        if serving.is_empty() {
            return None;
        }
        let place = rand::rng().random_range(0..serving.len());
        Some(OnceKey::ticket(serving[place]))
    }

    /// Returns the call ids that this entry has notes on.
    pub fn explain(&self, call: CallId) -> Vec<crate::tables::Note> {
        self.shared.journal.find(call)
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

/// Serves callers by HTTP.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve_callers(entry: Arc<Entry>) -> Result<Running, Error> {
    let address = entry.shared.config.listen.callers;
    let workers = entry.shared.config.workers;
    serve(address, workers, move |request| {
        Arc::clone(&entry).handle(request)
    })
}
