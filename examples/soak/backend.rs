//! The backend server of one VM: announces itself, runs requests, fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{CallerAnswer, Client, HttpListener, caller_text, listen};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::DEADLY_BODY;
use crate::estate::{Addresses, SLOTS, deadly_of, service};
use crate::pipeliner::is_pipelined;
use crate::record::{Record, Run};
use crate::words;

/// How often the server announces itself.
const BEAT: Duration = Duration::from_millis(500);
/// How long an acknowledgement may take.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);
/// Requests of a hundred that are rejected without being run, and that run
/// long enough for their callers to leave.
const REJECTED: u32 = 3;
const LONG: u32 = 5;
/// How long after its start a deadly request crashes its server.
const FUSE: Duration = Duration::from_millis(30);
/// How often the port is tried again.
const BINDS: u32 = 50;
/// How long those run.
const LONG_TIME: Duration = Duration::from_millis(1500);

/// What a server tells of itself.
#[derive(Clone, Debug)]
struct Told {
    id: String,
    born: u64,
    sequence: u64,
    /// Whether its announcements say that it leaves.
    leaving: bool,
    /// Whether its answers do.
    says_so: bool,
    /// The requests a second that it takes, while it is in need.
    limit: Option<f64>,
}

/// The state that handlers and announcements share.
#[derive(Debug)]
struct Shared {
    vm: usize,
    record: Arc<Record>,
    told: Mutex<Told>,
    /// When it was acknowledged that the server leaves.
    left: Mutex<Option<Instant>>,
    running: Mutex<Option<Running>>,
    /// Told when a request has crashed the server.
    crashed: Notify,
}

/// What ends with a run of the server.
#[derive(Debug)]
struct Running {
    _listening: HttpListener,
    beats: JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.beats.abort();
    }
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    shared: Arc<Shared>,
    addresses: Addresses,
}

impl Shared {
    /// Ends the run of the server; returns whether there was one.
    fn end(&self) -> bool {
        self.running.lock().take().is_some()
    }

    /// Crashes the server under a deadly request.
    async fn crash_under(&self, deadly: u64) {
        tokio::time::sleep(FUSE).await;
        if self.end() {
            self.record.crashed(deadly);
            self.crashed.notify_one();
        }
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Backend {
    pub(crate) fn new(vm: usize, addresses: Addresses, record: Arc<Record>) -> Self {
        let told = Told {
            id: format!("i-{vm}-0"),
            born: 0,
            sequence: 0,
            leaving: false,
            says_so: false,
            limit: None,
        };
        Self {
            shared: Arc::new(Shared {
                vm,
                record,
                told: Mutex::new(told),
                left: Mutex::default(),
                running: Mutex::default(),
                crashed: Notify::new(),
            }),
            addresses,
        }
    }

    /// Starts a run, with a new id or under the one it had.
    pub(crate) async fn start(&mut self, same_id: bool) -> eyre::Result<()> {
        {
            let mut told = self.shared.told.lock();
            let born = unix_ms().max(told.born + 1);
            let id = if same_id {
                told.id.clone()
            } else {
                format!("i-{}-{born}", self.shared.vm)
            };
            *told = Told {
                id,
                born,
                sequence: 0,
                leaving: false,
                says_so: false,
                limit: None,
            };
        }
        *self.shared.left.lock() = None;
        let listening = self.listen().await?;
        let shared = Arc::clone(&self.shared);
        let running = Running {
            _listening: listening,
            beats: tokio::spawn(announce(shared, self.addresses.announcements)),
        };
        *self.shared.running.lock() = Some(running);
        Ok(())
    }

    /// Listens; the port may be that of a run whose end is under way.
    async fn listen(&self) -> eyre::Result<HttpListener> {
        let mut tries = 0;
        loop {
            let shared = Arc::clone(&self.shared);
            let served = listen(self.addresses.backend, move |request, _| {
                handle(Arc::clone(&shared), request)
            });
            match served.await {
                Ok(listening) => return Ok(listening),
                Err(e) if tries == BINDS => return Err(e.into()),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends at once, as a crash would; connections are closed.
    pub(crate) fn crash(&mut self) {
        self.shared.end();
    }

    /// Tells whether the server is down.
    pub(crate) fn is_down(&self) -> bool {
        self.shared.running.lock().is_none()
    }

    /// Returns what waits until a request has crashed the server.
    pub(crate) fn crashes(&self) -> impl Future<Output = ()> + use<> {
        let shared = Arc::clone(&self.shared);
        async move { shared.crashed.notified().await }
    }

    /// Names a rate with all answers of this run from now on, unless it names one;
    /// returns whether it named none before.
    pub(crate) fn limit(&self, rate: f64) -> bool {
        let mut told = self.shared.told.lock();
        let began = told.limit.is_none();
        told.limit.get_or_insert(rate);
        began
    }

    /// Names no rate any more.
    pub(crate) fn recover(&self) {
        let mut told = self.shared.told.lock();
        told.limit = None;
        self.shared
            .record
            .words
            .recovered((self.shared.vm, told.born));
    }

    /// Says with answers alone that the server leaves.
    pub(crate) fn say_leaving(&self) {
        self.shared.told.lock().says_so = true;
    }

    /// Says that the server leaves; returns whether that was acknowledged.
    pub(crate) async fn leave(&self, wait: Duration) -> bool {
        {
            let mut told = self.shared.told.lock();
            told.leaving = true;
            told.says_so = true;
        }
        let end = Instant::now() + wait;
        while Instant::now() < end {
            if self.shared.left.lock().is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns when it was acknowledged that the server leaves.
    pub(crate) fn left(&self) -> Option<Instant> {
        *self.shared.left.lock()
    }
}

async fn announce(shared: Arc<Shared>, to: SocketAddr) {
    let client = Client::new(ACKNOWLEDGED, 4096);
    loop {
        let told = {
            let mut told = shared.told.lock();
            told.sequence += 1;
            told.clone()
        };
        let state = if told.leaving { "draining" } else { "ready" };
        let body = format!(
            r#"{{"upstream":"{}","address":"127.0.0.1:1","zone":"z","version":"v1","slots":{SLOTS},
            "state":"{state}","coldLeftS":0,"sequence":{},"born":{}}}"#,
            service(shared.vm),
            told.sequence,
            told.born
        );
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::PUT;
        *request.uri_mut() = format!("http://{to}/instances/{}", told.id)
            .parse()
            .expect("a URI");
        let heard = client.send(request).await;
        let heard = heard.is_ok_and(|answer| answer.status.is_success());
        if heard && told.leaving {
            shared.left.lock().get_or_insert_with(Instant::now);
        }
        tokio::time::sleep(BEAT).await;
    }
}

/// Notes the end of a run, also where its connection closes first.
struct Working {
    shared: Arc<Shared>,
    id: String,
    place: usize,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.shared.record.run_ended(&self.id, self.place);
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> CallerAnswer {
    let (head, body) = request.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, meant) = (text("x-request-id"), text("x-expect-instance"));
    let told = shared.told.lock().clone();
    let own = told.id.clone();
    let server = (shared.vm, told.born);
    let mut answer = caller_text(StatusCode::OK, "text/plain", format!("answer to {id}"));
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            answer.headers_mut().insert(name, value);
        }
    };
    put("x-request-id", &id);
    if meant != own {
        put("x-instance-id", &own);
        *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return answer;
    }
    put(words::RUN, &words::name(server));
    if told.says_so {
        put("server-leaving", "1");
    }
    if let Some(rate) = told.limit {
        shared.record.words.named(server, rate);
        put("server-limit", &rate.to_string());
    }
    let path = head.uri.path();
    let deadly = deadly_of(path);
    let rejected = deadly.is_none() && rand::rng().random_ratio(REJECTED, 100);
    let body = body.collect().await.map(|body| body.to_bytes());
    let (method, sent) = match deadly {
        Some(_) => (Method::POST, DEADLY_BODY.to_owned()),
        None if is_pipelined(&id) => (Method::GET, String::new()),
        None => (Method::POST, crate::caller::body(&id)),
    };
    let run = Run {
        vm: shared.vm,
        server,
        service: service(shared.vm),
        origin: text("x-caller-service"),
        at: Instant::now(),
        ended: None,
        rejected,
        unchanged: head.method == method
            && (path.ends_with(&id) || deadly.is_some())
            && body.is_ok_and(|body| *body == *sent.as_bytes()),
    };
    let place = shared.record.ran(&id, run);
    let _working = Working {
        shared: Arc::clone(&shared),
        id,
        place,
    };
    if rejected {
        put("x-not-executed", "1");
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return answer;
    }
    if let Some(deadly) = deadly {
        shared.crash_under(deadly).await;
    }
    put("x-server-signature", "signed");
    let time = if rand::rng().random_ratio(LONG, 100) {
        LONG_TIME
    } else {
        Duration::from_millis(rand::rng().random_range(2..40))
    };
    tokio::time::sleep(time).await;
    answer
}
