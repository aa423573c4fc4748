//! The backend server of one VM, which announces itself, runs requests and can fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{
    CallerAnswer, ChunkSender, Chunks, Client, HttpListener, Payload, caller_body, caller_text,
    listen,
};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::caller::DEADLY_BODY;
use crate::calls::ParentRun;
use crate::estate::{
    Addresses, BACKEND_SLOTS, BULK_PATH, CALL_PATH, LEAF_PATH, STREAM_PATH, answer_body,
    deadly_number, route_of, service_of,
};
use crate::notices;
use crate::raw_callers::is_get;
use crate::record::{Record, Run};
use crate::sender::Sender;

/// Interval between two announcements of the server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// How long to wait for the acknowledgement of an announcement.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Percentage of requests that are rejected without being run.
const REJECTED_PERCENT: u32 = 3;
/// Percentage of requests that run long enough for their callers to disconnect.
const SLOW_PERCENT: u32 = 5;
/// Percentage of requests that run on after their connection has closed.
const DETACHED_PERCENT: u32 = 20;
/// Time from the start of a deadly request to the crash of its server.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// How often binding the port is retried.
const MAX_BIND_RETRIES: u32 = 50;
/// How long slow requests run.
const SLOW_TIME: Duration = Duration::from_millis(1500);
/// How long slow calls of servers run.
const SLOW_CALL_TIME: Duration = Duration::from_millis(500);
/// How long a request may run if its deadline is not known.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Size of the chunks of streamed answers in bytes.
const CHUNK_SIZE: usize = 16 * 1024;
/// How long streaming an answer takes, in milliseconds.
const STREAM_TIME_MS: std::ops::Range<u64> = 500..2000;
/// Number of idle connections that a server keeps for its calls.
const IDLE_CONNECTIONS: usize = 8;

/// The state that a server announces or signals with its answers.
#[derive(Clone, Debug)]
struct ServerState {
    id: String,
    start_ms: u64,
    sequence: u64,
    /// Whether announcements say that the server leaves.
    is_leaving: bool,
    /// Whether answers say that the server leaves.
    signals_leaving: bool,
    /// The rate limit that answers name, in requests per second.
    limit: Option<f64>,
}

/// State shared by request handlers and announcements.
#[derive(Debug)]
struct Shared {
    vm: usize,
    record: Arc<Record>,
    state: Mutex<ServerState>,
    /// When the leaving of the server was acknowledged.
    leave_ack: Mutex<Option<Instant>>,
    active_run: Mutex<Option<ActiveRun>>,
    /// Notified when a deadly request has crashed the server.
    crashed: Notify,
}

/// The listener and the announcements of one run; both stop on drop.
#[derive(Debug)]
struct ActiveRun {
    _listening: HttpListener,
    announcer: JoinHandle<()>,
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    shared: Arc<Shared>,
    addresses: Addresses,
}

impl Shared {
    /// Ends the current run and returns whether there was one.
    fn end(&self) -> bool {
        self.active_run.lock().take().is_some()
    }

    /// Crashes the server `CRASH_DELAY` after a deadly request started; never returns.
    async fn crash_after_delay(&self, deadly: u64) {
        tokio::time::sleep(CRASH_DELAY).await;
        if self.end() {
            self.record.record_crash(deadly);
            self.crashed.notify_one();
        }
        // On a busy machine its connections close later than it would answer.
        std::future::pending().await
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Backend {
    pub(crate) fn new(vm: usize, addresses: Addresses, record: Arc<Record>) -> Self {
        let state = ServerState {
            id: format!("i-{vm}-0"),
            start_ms: 0,
            sequence: 0,
            is_leaving: false,
            signals_leaving: false,
            limit: None,
        };
        Self {
            shared: Arc::new(Shared {
                vm,
                record,
                state: Mutex::new(state),
                leave_ack: Mutex::default(),
                active_run: Mutex::default(),
                crashed: Notify::new(),
            }),
            addresses,
        }
    }

    /// Starts a run with the previous id or a new one.
    pub(crate) async fn start(&mut self, same_id: bool) -> eyre::Result<()> {
        {
            let mut state = self.shared.state.lock();
            let start_ms = unix_ms().max(state.start_ms + 1);
            let id = if same_id {
                state.id.clone()
            } else {
                format!("i-{}-{start_ms}", self.shared.vm)
            };
            *state = ServerState {
                id,
                start_ms,
                sequence: 0,
                is_leaving: false,
                signals_leaving: false,
                limit: None,
            };
        }
        *self.shared.leave_ack.lock() = None;
        let listener = self.listen().await?;
        let shared = Arc::clone(&self.shared);
        let active_run = ActiveRun {
            _listening: listener,
            announcer: tokio::spawn(announce(shared, self.addresses.announcements)),
        };
        *self.shared.active_run.lock() = Some(active_run);
        Ok(())
    }

    /// Binds the port, retrying while the previous run still holds it.
    async fn listen(&self) -> eyre::Result<HttpListener> {
        let mut tries = 0;
        loop {
            let shared = Arc::clone(&self.shared);
            let (vm, callers) = (shared.vm, self.addresses.callers);
            let record = Arc::clone(&shared.record);
            let sender = Arc::new(Sender::new(vm, callers, IDLE_CONNECTIONS, record));
            let detached = DetachedRuns::default();
            let listener = listen(self.addresses.backend, move |request, _| {
                let is_detached = rand::rng().random_ratio(DETACHED_PERCENT, 100);
                let run = handle(
                    Arc::clone(&shared),
                    Arc::clone(&sender),
                    request,
                    is_detached,
                );
                let detached = is_detached.then(|| Arc::clone(&detached));
                async move {
                    match detached {
                        Some(detached) => run_detached(&detached, run).await,
                        None => run.await,
                    }
                }
            });
            match listener.await {
                Ok(listener) => return Ok(listener),
                Err(e) if tries == MAX_BIND_RETRIES => return Err(e.into()),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Crashes the server: ends its run at once and closes its connections.
    pub(crate) fn crash(&mut self) {
        self.shared.end();
    }

    /// Returns whether the server is down.
    pub(crate) fn is_down(&self) -> bool {
        self.shared.active_run.lock().is_none()
    }

    /// Waits until a deadly request has crashed the server, without borrowing it.
    pub(crate) fn wait_for_crash(&self) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        async move { shared.crashed.notified().await }
    }

    /// Names a rate limit in all further answers of this run, unless it names one
    /// already; returns whether the limit was set.
    pub(crate) fn begin_limit(&self, rate: f64) -> bool {
        let mut state = self.shared.state.lock();
        let began = state.limit.is_none();
        state.limit.get_or_insert(rate);
        began
    }

    /// Stops naming a rate limit.
    pub(crate) fn end_limit(&self) {
        let mut state = self.shared.state.lock();
        state.limit = None;
        self.shared
            .record
            .notices
            .record_recovery((self.shared.vm, state.start_ms));
    }

    /// Says that the server leaves, in its answers only.
    pub(crate) fn signal_leaving(&self) {
        self.shared.state.lock().signals_leaving = true;
    }

    /// Announces that the server leaves; returns whether this was acknowledged
    /// within `wait`.
    pub(crate) async fn announce_leaving(&self, wait: Duration) -> bool {
        {
            let mut state = self.shared.state.lock();
            state.is_leaving = true;
            state.signals_leaving = true;
        }
        let end = Instant::now() + wait;
        while Instant::now() < end {
            if self.shared.leave_ack.lock().is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns when the leaving of the server was acknowledged.
    pub(crate) fn leave_ack(&self) -> Option<Instant> {
        *self.shared.leave_ack.lock()
    }
}

async fn announce(shared: Arc<Shared>, to: SocketAddr) {
    let client = Client::new(ACK_TIMEOUT, 4096);
    loop {
        let state = {
            let mut state = shared.state.lock();
            state.sequence += 1;
            state.clone()
        };
        let status = if state.is_leaving {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            r#"{{"upstream":"{}","address":"127.0.0.1:1","zone":"z","version":"v1","slots":{BACKEND_SLOTS},
            "state":"{status}","coldLeftS":0,"sequence":{},"born":{}}}"#,
            service_of(shared.vm),
            state.sequence,
            state.start_ms
        );
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::PUT;
        *request.uri_mut() = format!("http://{to}/instances/{}", state.id)
            .parse()
            .expect("valid URI");
        let answer = client.send(request).await;
        let is_acknowledged = answer.is_ok_and(|answer| answer.status.is_success());
        if is_acknowledged && state.is_leaving {
            shared.leave_ack.lock().get_or_insert_with(Instant::now);
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Records the end of a run on drop, which also covers a connection that closes first.
struct RunGuard {
    shared: Arc<Shared>,
    id: String,
    index: usize,
    is_complete: bool,
}

impl RunGuard {
    fn complete(mut self) {
        self.is_complete = true;
    }

    /// Streams an answer; the run ends with it.
    async fn stream(self, body: Bytes, to: ChunkSender) {
        let time = Duration::from_millis(rand::rng().random_range(STREAM_TIME_MS));
        let count = body.len().div_ceil(CHUNK_SIZE);
        for chunk in body.chunks(CHUNK_SIZE) {
            tokio::time::sleep(time / count as u32).await;
            if to.send(Ok(body.slice_ref(chunk))).await.is_err() {
                return;
            }
        }
        // An empty chunk marks the end.
        if to.send(Ok(Bytes::new())).await.is_ok() {
            self.complete();
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.shared
            .record
            .record_run_end(&self.id, self.index, self.is_complete);
    }
}

/// Returns how long a request runs, besides its calls.
fn run_time(path: &str) -> Duration {
    let slow_time = match route_of(path).path {
        CALL_PATH | LEAF_PATH => SLOW_CALL_TIME,
        _ => SLOW_TIME,
    };
    if rand::rng().random_ratio(SLOW_PERCENT, 100) {
        slow_time
    } else {
        Duration::from_millis(rand::rng().random_range(2..40))
    }
}

/// Runs that go on after their connection has closed, until the server ends.
type DetachedRuns = Arc<Mutex<JoinSet<()>>>;

async fn run_detached(
    detached: &DetachedRuns,
    run: impl Future<Output = CallerAnswer> + Send + 'static,
) -> CallerAnswer {
    let (to, answer) = oneshot::channel();
    {
        let mut detached = detached.lock();
        while detached.try_join_next().is_some() {}
        detached.spawn(async move {
            let _ = to.send(run.await);
        });
    }
    match answer.await {
        Ok(answer) => answer,
        Err(_) => std::future::pending().await,
    }
}

async fn handle(
    shared: Arc<Shared>,
    sender: Arc<Sender>,
    request: Request<Incoming>,
    is_detached: bool,
) -> CallerAnswer {
    let arrived_at = Instant::now();
    let (head, body) = request.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, expected_id) = (text("x-request-id"), text("x-expect-instance"));
    let state = shared.state.lock().clone();
    let own_id = state.id.clone();
    let server = (shared.vm, state.start_ms);
    let mut answer = caller_text(StatusCode::OK, "text/plain", format!("answer to {id}"));
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer.headers_mut().insert(name, value);
        }
    };
    put("x-request-id", &id);
    if expected_id != own_id {
        put("x-instance-id", &own_id);
        *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return answer;
    }
    put(notices::RUN_HEADER, &notices::format_run_key(server));
    if state.signals_leaving {
        put("server-leaving", "1");
    }
    if let Some(rate) = state.limit {
        shared.record.notices.record_limit(server, rate);
        put("server-limit", &rate.to_string());
    }
    let path = head.uri.path();
    let deadly = deadly_number(path);
    let rejected = deadly.is_none() && rand::rng().random_ratio(REJECTED_PERCENT, 100);
    let body = body.collect().await.map(|body| body.to_bytes());
    let (method, expected_body) = match deadly {
        Some(_) => (Method::POST, DEADLY_BODY.to_owned()),
        None if is_get(&id) => (Method::GET, String::new()),
        None => (Method::POST, crate::caller::request_body(&id)),
    };
    let run = Run {
        vm: shared.vm,
        server,
        service: service_of(shared.vm),
        origin: text("x-caller-service"),
        at: Instant::now(),
        end_time: None,
        is_complete: false,
        is_detached,
        rejected,
        unchanged: head.method == method
            && (path.ends_with(&id) || deadly.is_some())
            && body.is_ok_and(|body| *body == *expected_body.as_bytes()),
    };
    let index = shared.record.record_run(&id, run);
    let guard = RunGuard {
        shared: Arc::clone(&shared),
        id: id.clone(),
        index,
        is_complete: false,
    };
    if rejected {
        put("x-not-executed", "1");
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        guard.complete();
        return answer;
    }
    if let Some(deadly) = deadly {
        shared.crash_after_delay(deadly).await;
    }
    put("x-server-signature", "signed");
    tokio::time::sleep(run_time(path)).await;
    let time_left = text("x-deadline-ms").parse().map(Duration::from_millis);
    let parent_run = ParentRun {
        sender: &sender,
        id: &id,
        path,
        deadline: arrived_at + time_left.unwrap_or(MAX_TIME),
        is_repeat: shared.record.is_repeat(&id, index),
    };
    if !parent_run.make_calls().await {
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let body = answer_body(path, &id);
    match route_of(path).path {
        STREAM_PATH => {
            let size = HeaderValue::from(body.len());
            answer.headers_mut().insert(CONTENT_LENGTH, size);
            let (to, chunks) = Chunks::channel();
            tokio::spawn(guard.stream(body, to));
            let length = None;
            *answer.body_mut() = caller_body(Payload::Stream { length, chunks });
        }
        BULK_PATH => {
            guard.complete();
            *answer.body_mut() = caller_body(Payload::Whole(body));
        }
        _ => guard.complete(),
    }
    answer
}
