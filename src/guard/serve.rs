//! The way of a call from the gate to the backend server and back.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::backend::{AnswerBody, Backend, BackendError, pump, read_small, stream};
use super::crash::Crashes;
use super::trial::Trials;
use super::{Gate, Lease, LeaseState, OnceCalls, Pass};
use crate::call::{
    Attempt, Call, CallHead, Meaning, OnceCall, Planned, Reason, Refusal, Reply, ReplyHead, Sent,
    end_to_end,
};
use crate::model::{ClassRank, Depth, GuardNews, Retries, ServiceName, Slots};
use crate::policy::admission::{Outcome, Settings, Shed, usable};
use crate::policy::member::Presence;
use crate::policy::once::LedgerLimits;
use crate::tables::{Detail, Held, HeldCall, Shared, Step};
use crate::web::{Chunks, Payload};

/// Slots of a backend server whose service is not declared yet.
const UNKNOWN_SLOTS: Slots = Slots::new(1);

/// Stands before the one backend server of the VM.
pub struct Guard {
    pub(super) shared: Arc<Shared>,
    pub(super) gate: Arc<Gate>,
    pub(super) backend: Backend,
    pub(super) once: OnceCalls,
    pub(super) lease: Mutex<Lease>,
    pub(super) presence: Mutex<Presence>,
    pub(super) announced: Mutex<Option<Slots>>,
    pub(super) crashes: Crashes,
    pub(super) trials: Trials,
    pub(super) stopping: AtomicBool,
    pub(super) handle: Handle,
}

impl Guard {
    /// Makes the guard of a daemon; tasks that outlive a call run on `handle`.
    pub fn new(shared: Arc<Shared>, handle: Handle) -> Arc<Self> {
        let settings = Settings {
            slots: UNKNOWN_SLOTS,
            cold: false,
            protected: None,
        };
        let limits = LedgerLimits {
            bytes: 8 * 1024 * 1024,
            memory: Duration::from_secs(24 * 3600),
        };
        let backend = Backend::new(shared.config.backend);
        Arc::new(Self {
            gate: Gate::new(settings),
            backend,
            once: OnceCalls::new(limits),
            lease: Mutex::default(),
            presence: Mutex::default(),
            announced: Mutex::default(),
            crashes: Crashes::default(),
            trials: Trials::default(),
            stopping: AtomicBool::new(false),
            shared,
            handle,
        })
    }

    /// Returns the service that it guards.
    pub fn service(&self) -> &ServiceName {
        &self.shared.config.service
    }

    /// Returns the gate.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the once calls.
    pub fn once(&self) -> &OnceCalls {
        &self.once
    }

    /// Takes the rules in force.
    pub fn reload(&self) {
        let Some(in_force) = self.shared.current.get() else {
            return;
        };
        let estate = &in_force.estate;
        self.gate.reload(self.slots(), estate.protected());
        self.once.set_limits(LedgerLimits {
            bytes: estate.once.ledger_bytes.get() as usize,
            memory: estate.once.memory.get(),
        });
    }

    pub(super) fn protected(&self) -> Option<ClassRank> {
        let in_force = self.shared.current.get()?;
        in_force.estate.protected()
    }

    pub(super) fn slots(&self) -> Slots {
        usable(self.announced().unwrap_or_else(|| self.declared()))
    }

    /// Returns the slots by the rules in force.
    fn declared(&self) -> Slots {
        self.shared
            .current
            .get()
            .and_then(|in_force| {
                let service = in_force.estate.services.get(self.service())?;
                Some(service.slots)
            })
            .unwrap_or(UNKNOWN_SLOTS)
    }

    /// Serves a call that an entry sent.
    ///
    /// # Errors
    ///
    /// Returns what to tell the caller in place of an answer.
    pub async fn serve(self: &Arc<Self>, call: Call) -> Result<Reply, Refusal> {
        let attempt = Attempt::with_id(call.head.attempt);
        let account = call.head.account;
        let result = match self.check(&call.head) {
            Err(reason) => Err(self.home(attempt.refuse(reason, ""), account)),
            Ok(()) => match (&call.head.once, call.body) {
                (Some(once), Payload::Whole(body)) => {
                    let once = once.clone();
                    // On the heap, so that other calls need no room for it.
                    Box::pin(self.serve_once(attempt, call.head, once, body)).await
                }
                (Some(_), Payload::Stream { .. }) => {
                    let detail = "a once call must be sent whole";
                    Err(self.home(attempt.refuse(Reason::TooLarge, detail), account))
                }
                (None, body) => {
                    let call = Call {
                        head: call.head,
                        body,
                        confirm: call.confirm,
                    };
                    self.serve_plain(attempt, call).await
                }
            },
        };
        result.map_err(|mut refusal| {
            refusal.news = Some(self.gate.news());
            if refusal.reason().is_overload() {
                refusal.retry_after = Some(self.gate.retry_after());
            }
            refusal
        })
    }

    fn check(&self, head: &CallHead) -> Result<(), Reason> {
        if head.service != *self.service() {
            return Err(Reason::NoSuchService);
        }
        if head.depth > Depth::MAX {
            return Err(Reason::TooDeep);
        }
        let begun = |once: &OnceCall| self.once.has_begun(&once.key);
        match self.lease_state() {
            LeaseState::Serving => Ok(()),
            // A repeat that starts nothing is answered to the end.
            LeaseState::Leaving if head.once.as_ref().is_some_and(begun) => Ok(()),
            LeaseState::Leaving => Err(Reason::Shed(Shed::Leaving)),
            LeaseState::Absent => Err(Reason::Unreachable),
        }
    }

    /// Sends the whole account home with a refusal; nothing of it was used.
    pub(super) fn home(&self, mut refusal: Refusal, account: Retries) -> Refusal {
        refusal.account = account;
        refusal
    }

    pub(super) async fn enter(&self, head: &CallHead) -> Result<Pass, Shed> {
        let result = self.gate.enter(head.priority, head.deadline).await;
        let journal = &self.shared.journal;
        match &result {
            Ok(_) => journal.note(head.call, Step::Started, Detail::None),
            Err(shed) => {
                self.shared.metrics.count_reason("shed", shed.as_str());
                journal.note(head.call, Step::Shed, Detail::Word(shed.as_str()));
            }
        }
        result
    }

    async fn serve_plain(
        self: &Arc<Self>,
        attempt: Attempt<Planned>,
        call: Call,
    ) -> Result<Reply, Refusal> {
        let Call {
            head,
            body,
            confirm,
        } = call;
        let _leave = match self.leave_to_run(&head).await {
            Ok(leave) => leave,
            Err(barred) => return Err(self.home(barred.refuse(attempt), head.account)),
        };
        let mut pass = match self.enter(&head).await {
            Ok(pass) => pass,
            Err(shed) => {
                return Err(self.home(attempt.refuse(Reason::Shed(shed), ""), head.account));
            }
        };
        if let Some(confirm) = confirm {
            let told = tokio::time::timeout_at(head.deadline, confirm.ask()).await;
            if told != Ok(true) {
                let refusal = attempt.refuse(Reason::Shed(Shed::Cancelled), "");
                return Err(self.home(refusal, head.account));
            }
        }
        if let Err(barred) = self.check_held(&head) {
            return Err(self.home(barred.refuse(attempt), head.account));
        }
        let held = self.shared.calls.hold(head.call, Held::new(&head));
        let attempt = attempt.send();
        let asked = tokio::time::timeout_at(head.deadline, self.ask(&head, body)).await;
        let answered = match asked {
            Err(_) => return Err(self.give_up(attempt.lose(Reason::Timeout, ""), &held)),
            Ok(Err(error)) => {
                pass.judge(error.is_fault());
                return Err(self.failed(attempt, &error, &held));
            }
            Ok(Ok(answered)) => answered,
        };
        let onward = self.note_end(&mut pass, &held, answered.status);
        Ok(self.reply(answered, onward, pass, held))
    }

    /// Asks the backend server; tells a crash from an answer that was cut.
    ///
    /// What is learned of the request outlives it, since a query of death comes
    /// again under other ids: held after three crashes, it ends no more servers
    /// where it ended 25 in eight seconds (`tests/query_of_death.rs`).
    pub(super) async fn ask(
        &self,
        head: &CallHead,
        body: Payload,
    ) -> Result<Answered, BackendError> {
        let began = Instant::now();
        let server = self.server();
        match self.send(head, body).await {
            Err(BackendError::Cut(cause)) => match self.crash_since(began).await {
                Some(crash) => {
                    self.shared.note_crash(head.fingerprint, crash);
                    self.ended(server.as_ref());
                    Err(BackendError::Crashed(crash))
                }
                None => Err(BackendError::Cut(cause)),
            },
            Err(BackendError::Gone(cause)) => {
                self.ended(server.as_ref());
                Err(BackendError::Gone(cause))
            }
            Ok(answered) if answered.is_final() => {
                self.shared.note_answer(head.fingerprint);
                Ok(answered)
            }
            result => result,
        }
    }

    async fn send(&self, head: &CallHead, body: Payload) -> Result<Answered, BackendError> {
        let protocol = &self.shared.protocol;
        let server = self.server();
        let mut headers = head.headers.clone();
        protocol.address(&mut headers, head, Instant::now(), server.as_ref());
        let answer = self.backend.send(head, headers, body).await?;
        let (parts, body) = answer.into_parts();
        match protocol.meaning(head, parts.status, &parts.headers) {
            Meaning::Answer => {}
            Meaning::NotRun => return Err(BackendError::NotRun),
            Meaning::OtherServer(found) => {
                self.displaced(server.as_ref(), found.as_ref());
                return Err(BackendError::OtherServer(found));
            }
            Meaning::Garbage => {
                let cause = "the answer is to another call, or no server's";
                return Err(BackendError::Garbage(cause.into()));
            }
        }
        let length = body.size_hint().exact();
        Ok(Answered {
            status: parts.status,
            headers: end_to_end(&parts.headers),
            length,
            body: read_small(body).await?,
        })
    }

    fn give_up(&self, mut refusal: Refusal, held: &HeldCall) -> Refusal {
        refusal.account = held.close();
        refusal
    }

    pub(super) fn failed(
        &self,
        attempt: Attempt<Sent>,
        error: &BackendError,
        held: &HeldCall,
    ) -> Refusal {
        let refusal = match error {
            BackendError::Connect(cause) | BackendError::Gone(cause) => attempt
                .unsent()
                .refuse(Reason::Unreachable, cause.clone())
                .of_key(),
            BackendError::NotRun => attempt.unsent().refuse(Reason::Rejected, ""),
            BackendError::OtherServer(found) => {
                let found = found.as_ref().map_or("", |server| server.as_str());
                attempt.unsent().refuse(Reason::Replaced, found)
            }
            BackendError::Cut(cause) => attempt.lose(Reason::Cut, cause.clone()),
            BackendError::Crashed(crash) => {
                let mut refusal = attempt.lose(Reason::Crashed, crash.to_string());
                refusal.crash = Some(*crash);
                refusal
            }
            BackendError::Garbage(cause) => attempt.lose(Reason::Garbage, cause.clone()),
        };
        self.shared
            .metrics
            .count_reason("backend_failed", refusal.reason().as_str());
        self.give_up(refusal, held)
    }

    /// Takes note of how a call ended; returns whether calls were made onwards
    /// for it.
    pub(super) fn note_end(&self, pass: &mut Pass, held: &Held, status: StatusCode) -> bool {
        let refused_here =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        let met = held.take_met();
        let answered = !status.is_server_error();
        let refused = met.iter().any(|met| met.refused);
        if status != StatusCode::GATEWAY_TIMEOUT {
            let excused = met.iter().any(|met| met.failed);
            pass.judge(!answered && !excused);
        }
        pass.met_below(&met, answered);
        let outcome = match (refused, answered) {
            (true, false) => Outcome::Failed,
            _ if refused_here => Outcome::Refused,
            _ => Outcome::Answered,
        };
        pass.ended(outcome);
        !met.is_empty()
    }

    /// Makes the reply; a large body is passed on by a task that keeps the
    /// slot until its end.
    fn reply(&self, answered: Answered, onward: bool, pass: Pass, held: HeldCall) -> Reply {
        let mut head = ReplyHead {
            status: answered.status,
            headers: answered.headers,
            account: Retries::new(0),
            news: GuardNews::default(),
            onward,
            kept: false,
        };
        let body = match answered.body {
            AnswerBody::Whole(bytes) => {
                head.account = held.close();
                drop(pass);
                Payload::Whole(bytes)
            }
            AnswerBody::Large(first, rest) => {
                head.account = held.close();
                self.pass_on(answered.length, first, rest, (pass, held))
            }
        };
        head.news = self.gate.news();
        Reply { head, body }
    }

    fn pass_on(
        &self,
        length: Option<u64>,
        first: Bytes,
        rest: Incoming,
        kept: (Pass, HeldCall),
    ) -> Payload {
        let (sender, chunks) = Chunks::channel();
        self.handle.spawn(async move {
            let _kept = kept;
            pump(first, rest, &sender).await;
        });
        stream(length, chunks)
    }
}

/// The backend server's answer, its body read so far as it is small.
pub(super) struct Answered {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) length: Option<u64>,
    pub(super) body: AnswerBody,
}

impl Answered {
    /// Tells whether the backend server went through with the call: it did not
    /// fail it on the way, and the answer is here whole.
    fn is_final(&self) -> bool {
        !self.status.is_server_error() && matches!(self.body, AnswerBody::Whole(_))
    }
}
