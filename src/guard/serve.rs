//! The way of a call from the gate to the backend server and back.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::time::Instant;

use super::backend::{AnswerBody, Backend, BackendError, pump, read_small, read_whole, stream};
use super::once::{Change, Done, Entered};
use super::{Gate, Lease, LeaseState, OnceCalls, Pass, body_hash};
use crate::call::{
    Attempt, Call, CallHead, Meaning, OnceCall, Planned, Reason, Refusal, Reply, ReplyHead, Sent,
    end_to_end,
};
use crate::model::{
    ClassRank, Depth, GuardNews, Instance, OnceKey, Retries, ServerId, ServiceName, Slots,
};
use crate::policy::admission::{Outcome, Settings, Shed, usable};
use crate::policy::member::{Announcement, Presence, Presented};
use crate::policy::once::{
    Claim, ClaimCheck, Kept, LedgerLimits, Nonce, Refuse, authority, claim_key, judge_claim,
};
use crate::store::{Condition, Settled, settle};
use crate::tables::{Held, HeldCall, Shared, Step, mint_now};
use crate::web::{Chunks, Payload};

/// Slots of a backend server whose service is not declared yet.
const UNKNOWN_SLOTS: Slots = Slots::new(1);
/// How long the outcome of a once call is waited for after its deadline.
const ONCE_WAIT: Duration = Duration::from_secs(30);
/// Largest answer to a once call, in bytes.
const MAX_ONCE_ANSWER: usize = 4 * 1024 * 1024;

/// Stands before the one backend server of the VM.
pub struct Guard {
    shared: Arc<Shared>,
    gate: Arc<Gate>,
    backend: Backend,
    once: OnceCalls,
    lease: Mutex<Lease>,
    presence: Mutex<Presence>,
    announced: Mutex<Option<Slots>>,
    stopping: AtomicBool,
    handle: Handle,
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

    /// Returns whether the backend server takes calls.
    pub fn lease_state(&self) -> LeaseState {
        self.lease.lock().state(Instant::now())
    }

    /// Takes an announcement or renewal of the backend server; returns whether
    /// it had been away.
    pub fn announce(&self, cold: bool) -> bool {
        let first = self.lease.lock().renew(Instant::now());
        if first {
            self.shared.announced.notify_one();
        }
        if first && cold {
            self.gate.restart(self.slots());
        } else if first {
            self.gate.rejoin();
        }
        first
    }

    /// Takes an announcement of one run of the backend server, which may come
    /// late or out of order.
    pub fn hear(&self, news: &Announcement) -> Presented {
        let change = self.presence.lock().announce(news);
        if change != Presented::Renewed {
            self.shared.announced.notify_one();
        }
        match change {
            Presented::Old => {}
            Presented::Leaving => self.drain(),
            Presented::Arrived | Presented::Renewed => {
                self.announced.lock().replace(news.slots);
                self.gate.reload(self.slots(), self.protected());
                if !self.stopping.load(Ordering::Relaxed) {
                    self.announce(news.cold);
                }
            }
        }
        change
    }

    /// Takes note that a run of the backend server has ended or is about to.
    pub fn depart(&self, server: &ServerId) {
        if self.presence.lock().depart(server) {
            self.drain();
            self.shared.announced.notify_one();
        }
    }

    /// Returns the run of the backend server that is present, if it said so.
    pub fn server(&self) -> Option<ServerId> {
        self.presence.lock().server().cloned()
    }

    /// Returns the slots that the backend server announced.
    pub fn announced(&self) -> Option<Slots> {
        *self.announced.lock()
    }

    fn displaced(&self, meant: Option<&ServerId>, found: Option<&ServerId>) {
        if let Some(meant) = meant {
            self.presence.lock().displaced(meant, found);
            *self.lease.lock() = Lease::absent();
        }
    }

    /// Refuses new calls for good, since the daemon stops.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.drain();
    }

    /// Renews the announcement of a backend server that has not been told to
    /// leave.
    pub fn renew(&self) {
        let mut lease = self.lease.lock();
        if lease.state(Instant::now()) != LeaseState::Leaving {
            lease.renew(Instant::now());
        }
    }

    /// Refuses new calls; those in flight go on.
    pub fn drain(&self) {
        self.lease.lock().drain();
        self.gate.leave();
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

    fn protected(&self) -> Option<ClassRank> {
        let in_force = self.shared.current.get()?;
        in_force.estate.protected()
    }

    fn slots(&self) -> Slots {
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
                    self.serve_once(attempt, call.head, once, body).await
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
    fn home(&self, mut refusal: Refusal, account: Retries) -> Refusal {
        refusal.account = account;
        refusal
    }

    async fn enter(&self, head: &CallHead) -> Result<Pass, Shed> {
        let result = self.gate.enter(head.priority, head.deadline).await;
        let journal = &self.shared.journal;
        match &result {
            Ok(_) => journal.note(head.call, Step::Started, self.service().as_str()),
            Err(shed) => {
                self.shared.metrics.count_reason("shed", shed.as_str());
                journal.note(head.call, Step::Shed, shed.as_str());
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
        let held = self.shared.calls.hold(head.call, Held::new(&head));
        let attempt = attempt.send();
        let asked = tokio::time::timeout_at(head.deadline, self.ask(&head, body)).await;
        let answered = match asked {
            Err(_) => return Err(self.give_up(attempt.lose(Reason::Timeout, ""), &held)),
            Ok(Err(error)) => return Err(self.failed(attempt, &error, &held)),
            Ok(Ok(answered)) => answered,
        };
        self.note_end(&mut pass, &held, answered.status);
        Ok(self.reply(answered, pass, held))
    }

    /// Asks for an answer that is read whole, as the ledger needs it.
    async fn ask_whole(&self, head: &CallHead, body: Bytes) -> Result<Answered, BackendError> {
        let answered = self.ask(head, Payload::Whole(body)).await?;
        let AnswerBody::Large(first, rest) = answered.body else {
            return Ok(answered);
        };
        let whole = read_whole(first, rest, MAX_ONCE_ANSWER).await?;
        let whole = whole.ok_or_else(|| {
            BackendError::Garbage("the answer to a once call is larger than 4 MiB".into())
        })?;
        Ok(Answered {
            body: AnswerBody::Whole(whole),
            ..answered
        })
    }

    async fn ask(&self, head: &CallHead, body: Payload) -> Result<Answered, BackendError> {
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

    fn failed(&self, attempt: Attempt<Sent>, error: &BackendError, held: &HeldCall) -> Refusal {
        let refusal = match error {
            BackendError::Connect(cause) => attempt
                .unsent()
                .refuse(Reason::Unreachable, cause.clone())
                .of_key(),
            BackendError::NotRun => attempt.unsent().refuse(Reason::Rejected, ""),
            BackendError::OtherServer(found) => {
                let found = found.as_ref().map_or("", |server| server.as_str());
                attempt.unsent().refuse(Reason::Replaced, found)
            }
            BackendError::Cut(cause) => attempt.lose(Reason::Cut, cause.clone()),
            BackendError::Garbage(cause) => attempt.lose(Reason::Garbage, cause.clone()),
        };
        self.shared
            .metrics
            .count_reason("backend_failed", refusal.reason().as_str());
        self.give_up(refusal, held)
    }

    fn note_end(&self, pass: &mut Pass, held: &Held, status: StatusCode) {
        let refused_here =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        let met = held.take_met();
        let answered = !status.is_server_error();
        let refused = met.iter().any(|met| met.refused);
        pass.met_below(&met, answered);
        let outcome = match (refused, answered) {
            (true, false) => Outcome::Failed,
            _ if refused_here => Outcome::Refused,
            _ => Outcome::Answered,
        };
        pass.ended(outcome);
    }

    /// Makes the reply; a large body is passed on by a task that keeps the
    /// slot until its end.
    fn reply(&self, answered: Answered, pass: Pass, held: HeldCall) -> Reply {
        let mut head = ReplyHead {
            status: answered.status,
            headers: answered.headers,
            account: Retries::new(0),
            news: GuardNews::default(),
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

    async fn serve_once(
        self: &Arc<Self>,
        attempt: Attempt<Planned>,
        head: CallHead,
        once: OnceCall,
        body: Bytes,
    ) -> Result<Reply, Refusal> {
        let account = head.account;
        let deadline = head.deadline;
        if let Err(refuse) = self.authority(&once.key) {
            return Err(self.home(attempt.refuse_once(refuse), account));
        }
        let hash = body_hash(&head, &body);
        let (mut end, started) = match self.once.enter(mint_now(), &once.key, hash) {
            Entered::Answer(kept) => return Ok(self.kept(kept, account, true)),
            Entered::Refuse(refuse) => {
                return Err(self.home(attempt.refuse_once(refuse), account));
            }
            Entered::Attach(end) => (end, false),
            Entered::Run { resumed, end } => {
                let run = Arc::clone(self).run_once(head, once, body, resumed);
                self.handle.spawn(run);
                (end, true)
            }
        };
        let attempt = attempt.send();
        let waited = tokio::time::timeout_at(deadline, end.wait_for(|done| done.is_some())).await;
        let done = match waited {
            Ok(Ok(done)) => done.clone(),
            _ => None,
        };
        let Some(done) = done else {
            let detail = "repeat with the same key to learn the outcome";
            return Err(attempt.lose(Reason::Timeout, detail));
        };
        let account = if started { done.account } else { account };
        match done.result {
            Ok(kept) => Ok(self.kept(kept, account, !started)),
            Err(refusal) => Err(self.home(refusal, account)),
        }
    }

    /// Tells what became of a once call, without starting anything.
    ///
    /// # Errors
    ///
    /// Returns what is known in place of an answer.
    pub async fn inquire(
        &self,
        attempt: Attempt<Planned>,
        key: &OnceKey,
        wait: Duration,
    ) -> Result<Reply, Refusal> {
        let none = Retries::new(0);
        let mut end = match self.once.inquire(key) {
            Entered::Answer(kept) => return Ok(self.kept(kept, none, true)),
            Entered::Refuse(refuse) => return Err(attempt.refuse_once(refuse)),
            Entered::Attach(end) | Entered::Run { end, .. } => end,
        };
        let attempt = attempt.send();
        let waited = tokio::time::timeout(wait, end.wait_for(|done| done.is_some())).await;
        match waited {
            Ok(Ok(done)) => match &*done {
                Some(done) => done.result.clone().map(|kept| self.kept(kept, none, true)),
                None => Err(attempt.lose(Reason::Timeout, "")),
            },
            _ => Err(attempt.lose(Reason::Timeout, "the call still runs")),
        }
    }

    fn kept(&self, kept: Kept, account: Retries, again: bool) -> Reply {
        let mut headers = HeaderMap::new();
        for (name, value) in &kept.headers {
            if let (Ok(name), Ok(value)) = (
                http::HeaderName::from_bytes(name.as_bytes()),
                http::HeaderValue::from_bytes(value),
            ) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
        Reply {
            head: ReplyHead {
                status,
                headers,
                account,
                news: self.gate.news(),
                kept: again,
            },
            body: Payload::Whole(kept.body.unwrap_or_default()),
        }
    }

    fn authority(&self, key: &OnceKey) -> Result<(), Refuse> {
        let home = self.shared.homes.get(self.service());
        let row = home.as_ref().map(|home| &*home.row);
        authority(key, self.shared.instance, row)
    }

    async fn run_once(self: Arc<Self>, head: CallHead, once: OnceCall, body: Bytes, resumed: bool) {
        let key = once.key;
        let attempt = Attempt::with_id(head.attempt);
        let account = head.account;
        let not_started = |refusal: Refusal| Done {
            result: Err(refusal),
            account,
        };
        if let OnceKey::Opaque(_) = key
            && let Err(lost) = self.claim(&key, resumed).await
        {
            let mut refusal = attempt.refuse_once(lost.refuse);
            if let Some(owner) = lost.owner {
                refusal.detail = owner.to_string().into();
            }
            return self.once.end(&key, lost.change, not_started(refusal));
        }
        let mut pass = match self.enter(&head).await {
            Ok(pass) => pass,
            Err(shed) => {
                let done = not_started(attempt.refuse(Reason::Shed(shed), "").of_key());
                return self.once.end(&key, Change::Release, done);
            }
        };
        let held = self.shared.calls.hold(head.call, Held::new(&head));
        let attempt = attempt.send();
        let limit = head.deadline + ONCE_WAIT;
        let asked = tokio::time::timeout_at(limit, self.ask_whole(&head, body)).await;
        let (change, result) = match asked {
            Err(_) => (Change::Lose, Err(attempt.lose(Reason::Timeout, ""))),
            Ok(Err(error)) => {
                let change = match error {
                    BackendError::Connect(_)
                    | BackendError::NotRun
                    | BackendError::OtherServer(_) => Change::Release,
                    BackendError::Cut(_) | BackendError::Garbage(_) => Change::Lose,
                };
                (change, Err(self.failed(attempt, &error, &held)))
            }
            Ok(Ok(answered)) => {
                self.note_end(&mut pass, &held, answered.status);
                (Change::Finish, Ok(answered.into_kept()))
            }
        };
        let account = held.close();
        self.once.end(&key, change, Done { result, account });
    }

    /// Claims a key that carries no mint time in the table service.
    async fn claim(&self, key: &OnceKey, resumed: bool) -> Result<(), ClaimLost> {
        let own = self.shared.instance;
        let claim = Claim {
            owner: own,
            nonce: Nonce(rand::random()),
        };
        let content = serde_json::to_vec(&claim).unwrap_or_default().into();
        let name = claim_key(self.service(), key);
        let table = self.shared.platform.as_ref();
        let lost = |refuse, change, owner| {
            Err(ClaimLost {
                refuse,
                change,
                owner,
            })
        };
        let row = match settle(table, &name, Condition::Absent, content).await {
            Settled::Written(_) => return Ok(()),
            Settled::Lost(row) => row,
            Settled::NotSent(_) | Settled::Unsettled(_) => {
                return lost(Refuse::NoPlatform, Change::Release, None);
            }
        };
        let found = row.and_then(|row| serde_json::from_slice(&row.content).ok());
        match found.map(|found| judge_claim(found, own, claim.nonce)) {
            Some(ClaimCheck::Won) => Ok(()),
            Some(ClaimCheck::OwnEarlier) if resumed => Ok(()),
            Some(ClaimCheck::OwnEarlier) => lost(Refuse::Forgotten, Change::Retract, None),
            Some(ClaimCheck::Other(owner)) => {
                lost(Refuse::WrongOwner, Change::Retract, Some(owner))
            }
            None => lost(Refuse::OutcomeLost, Change::Retract, None),
        }
    }
}

/// A key that this instance could not claim.
struct ClaimLost {
    refuse: Refuse,
    change: Change,
    owner: Option<Instance>,
}

/// The backend server's answer, its body read so far as it is small.
struct Answered {
    status: StatusCode,
    headers: HeaderMap,
    length: Option<u64>,
    body: AnswerBody,
}

impl Answered {
    fn into_kept(self) -> Kept {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| {
                let value = Bytes::copy_from_slice(value.as_bytes());
                (name.as_str().into(), value)
            })
            .collect();
        let body = match self.body {
            AnswerBody::Whole(bytes) => Some(bytes),
            AnswerBody::Large(..) => None,
        };
        Kept {
            status: self.status.as_u16(),
            headers,
            body,
        }
    }
}
