//! VMs in one process: daemons with backend servers that announce themselves as on
//! the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bramleymount::config::Config;
use bramleymount::daemon::Daemon;
use bramleymount::emulator::free_address;
use bramleymount::web::{Answer, CallerAnswer, HttpListener, caller_text, listen};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::rows::RowsStandIn;
use super::{eventually, headers, request};

/// What a backend server has received and run.
#[derive(Debug, Default)]
pub struct ServerRecord {
    /// Id, origin and body size of each run.
    pub runs: Mutex<Vec<(String, String, usize)>>,
    /// The headers of each run.
    pub run_headers: Mutex<Vec<HeaderMap>>,
    pub active_runs: AtomicUsize,
    /// All requests, including those that were refused.
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Headers that the server adds to all answers.
    pub answer_headers: Mutex<HeaderMap>,
}

/// A request that reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub origin: String,
}

impl ServerRecord {
    /// Sets the headers that the server adds to all answers from now on.
    pub fn set_answer_headers(&self, pairs: &[(&'static str, &str)]) {
        *self.answer_headers.lock() = headers(pairs);
    }

    /// Returns the number of requests of some services from `from` to before `to`.
    pub fn count_arrivals(&self, from: Instant, to: Instant, origins: &[&str]) -> usize {
        let arrivals = self.arrivals.lock();
        let within = arrivals
            .iter()
            .filter(|arrival| arrival.at >= from && arrival.at < to);
        within
            .filter(|arrival| origins.contains(&arrival.origin.as_str()))
            .count()
    }

    /// Returns the largest number of requests of some services in any `window`
    /// that starts at or after `from`.
    pub fn max_in_window(&self, from: Instant, window: Duration, origins: &[&str]) -> usize {
        let starts: Vec<_> = self
            .arrivals
            .lock()
            .iter()
            .map(|arrival| arrival.at)
            .collect();
        let starts = starts.into_iter().filter(|at| *at >= from);
        let counts = starts.map(|at| self.count_arrivals(at, at + window, origins));
        counts.max().unwrap_or_default()
    }
}

/// Delay of answers to paths with `/late-`.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// Counts a run as active until dropped, also if its request is cancelled.
struct ActiveRun<'s>(&'s AtomicUsize);

impl Drop for ActiveRun<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve(
    record: Arc<ServerRecord>,
    server: String,
    request: Request<Incoming>,
) -> CallerAnswer {
    let (head, body) = request.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let path = head.uri.path().to_owned();
    record.arrivals.lock().push(Arrival {
        at: Instant::now(),
        id: text("x-request-id"),
        origin: text("x-caller-service"),
    });
    let body = body
        .collect()
        .await
        .map(|b| b.to_bytes())
        .unwrap_or_default();
    let mut answer = caller_text(StatusCode::OK, "text/plain", "whole answer");
    let id = HeaderValue::from_str(&text("x-request-id")).expect("an id");
    answer.headers_mut().insert("x-request-id", id);
    answer
        .headers_mut()
        .extend(record.answer_headers.lock().clone());
    if path.ends_with("/shed") || text("x-expect-instance") != server {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let not_executed = HeaderValue::from_static("1");
        answer.headers_mut().insert("x-not-executed", not_executed);
        return answer;
    }
    let run = (text("x-request-id"), text("x-caller-service"), body.len());
    record.runs.lock().push(run);
    record.run_headers.lock().push(head.headers.clone());
    record.active_runs.fetch_add(1, Ordering::SeqCst);
    let _active_run = ActiveRun(&record.active_runs);
    if path.contains("/late-") {
        tokio::time::sleep(LATE_ANSWER_DELAY).await;
    }
    if path.ends_with("/slow") {
        tokio::time::sleep(Duration::from_secs(20)).await;
    }
    if !path.ends_with("/unsigned") {
        let signature = HeaderValue::from_static("signed");
        answer.headers_mut().insert("x-server-signature", signature);
    }
    answer
}

/// A VM with a daemon and a backend server.
pub struct Vm {
    pub daemon: Daemon,
    pub callers: SocketAddr,
    pub announcements: SocketAddr,
    pub readiness: SocketAddr,
    pub operators: SocketAddr,
    pub record: Arc<ServerRecord>,
    pub server: String,
    pub service: String,
    /// The address of the backend server.
    pub backend: SocketAddr,
    settings: String,
    running: Option<HttpListener>,
}

/// Starts a VM with a backend server that answers.
pub async fn vm(service: &str, store: SocketAddr) -> Vm {
    vm_with(service, store, "").await
}

/// Starts a VM with a backend server that answers and additional settings.
pub async fn vm_with(service: &str, store: SocketAddr, settings: &str) -> Vm {
    let mut vm = vm_without_server_with(service, store, settings).await;
    let (record, id) = (Arc::clone(&vm.record), vm.server.clone());
    let served = listen(vm.backend, move |request, _| {
        serve(Arc::clone(&record), id.clone(), request)
    });
    vm.running = Some(served.await.expect("a backend server"));
    vm
}

async fn start_daemon(settings: &str) -> Daemon {
    eventually("the daemon's addresses", || async {
        let config = Config::parse(Path::new("settings.yaml"), settings.as_bytes());
        let config = config.unwrap_or_else(|e| panic!("{e}"));
        Daemon::start(config).await.ok()
    })
    .await
}

/// Starts a VM without its backend server.
pub async fn vm_without_server(service: &str, store: SocketAddr) -> Vm {
    vm_without_server_with(service, store, "").await
}

/// Starts a VM without its backend server, with additional lines of settings.
pub async fn vm_without_server_with(service: &str, store: SocketAddr, lines: &str) -> Vm {
    let port = || free_address().expect("a port");
    let (callers, announcements, readiness, backend) = (port(), port(), port(), port());
    let operators = port();
    let text = format!(
        "data_centre: hall-a\nhall: hall-a\nservice: {service}\nlisten:\n  callers: {callers}\n  \
         peers: {}\n  operators: {operators}\nbackend: {backend}\nplatform: {store}\nhosting:\n  \
         announcements: {announcements}\n  readiness: {readiness}\ngrace: 6s\n{lines}\n",
        port(),
    );
    Vm {
        daemon: start_daemon(&text).await,
        callers,
        announcements,
        readiness,
        operators,
        record: Arc::new(ServerRecord::default()),
        server: format!("i-{}", backend.port()),
        service: service.into(),
        backend,
        settings: text,
        running: None,
    }
}

impl Vm {
    /// Kills and restarts the daemon while the backend server keeps running.
    pub async fn restart(mut self) -> Self {
        self.daemon.kill();
        self.daemon = start_daemon(&self.settings).await;
        self
    }

    pub async fn announce(&self, state: &str, sequence: u64) -> Answer {
        let more = format!(r#""state":"{state}","coldLeftS":0,"sequence":{sequence}"#);
        self.announce_with(&more).await
    }

    /// Announces the server with `fields` in addition to the common ones.
    pub async fn announce_with(&self, fields: &str) -> Answer {
        let body = format!(
            r#"{{"upstream":"{}","address":"127.0.0.1:1","zone":"hall-a","version":"v1",
            "slots":20,{fields}}}"#,
            self.service
        );
        self.announce_raw(body.into()).await
    }

    /// Announces the server under the instance id `server`.
    pub async fn announce_as(&self, server: &str, state: &str, sequence: u64) -> Answer {
        let body = format!(
            r#"{{"upstream":"{}","slots":20,"state":"{state}","coldLeftS":0,
            "sequence":{sequence}}}"#,
            self.service
        );
        let url = format!("http://{}/instances/{server}", self.announcements);
        let answer = request(Method::PUT, &url, HeaderMap::new(), body.into()).await;
        answer.expect("an acknowledgement")
    }

    pub async fn announce_raw(&self, body: Bytes) -> Answer {
        let answer = request(Method::PUT, &self.instance_url(), HeaderMap::new(), body).await;
        answer.expect("an acknowledgement")
    }

    /// Removes the server's announcement.
    pub async fn announce_removal(&self) -> Answer {
        let url = self.instance_url();
        let answer = request(Method::DELETE, &url, HeaderMap::new(), Bytes::new()).await;
        answer.expect("an acknowledgement")
    }

    fn instance_url(&self) -> String {
        format!("http://{}/instances/{}", self.announcements, self.server)
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.readiness);
        let answer = request(Method::GET, &url, HeaderMap::new(), Bytes::new()).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    pub async fn wait_ready(&self) {
        eventually("readiness", || async {
            self.is_ready().await.then_some(())
        })
        .await;
    }

    /// Sends a request with the id `id` and returns the answer.
    pub async fn send(&self, method: Method, path: &str, id: &str) -> Answer {
        self.send_with(method, path, id, &[]).await
    }

    /// Sends a request with the id `id` and additional headers.
    pub async fn send_with(
        &self,
        method: Method,
        path: &str,
        id: &str,
        more: &[(&'static str, &str)],
    ) -> Answer {
        let url = format!("http://{}{path}", self.callers);
        let mut sent = headers(&[
            ("host", "a.example"),
            ("x-request-id", id),
            ("x-deadline-ms", "5000"),
            ("x-caller-service", "forged"),
        ]);
        sent.extend(headers(more));
        let answer = request(method, &url, sent, Bytes::from_static(b"body")).await;
        answer.expect("an answer")
    }
}

/// Returns a document that routes `/read/` and `/write/` to `service`.
pub fn document(version: u64, service: &str, timeout: f64) -> String {
    let route = |path: &str, kind: &str| {
        format!(
            r#""authority":"a.example","pathPrefix":"/{path}/","routeType":"{kind}",
            "timeoutS":{timeout},"goalS":1,"priority":0,"upstream":"{service}","attempts":2"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":{{"r-read":{{{}}},"r-write":{{{}}}}},
        "services":{{"{service}":{{"healthPath":"/h","maxConns":100}}}}}}"#,
        route("read", "idempotent"),
        route("write", "non_idempotent"),
    )
}

/// Returns a document with API keys: `/read/` and `/write/` require one, `/open/`
/// does not.
pub fn keyed_document(version: u64, service: &str, workspaces: &str) -> String {
    let route = |path: &str, public: bool| {
        format!(
            r#""r-{path}":{{"authority":"a.example","pathPrefix":"/{path}/",
            "routeType":"idempotent","timeoutS":2,"goalS":1,"priority":0,
            "upstream":"{service}","attempts":2,"public":{public}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":{{{},{},{}}},
        "services":{{"{service}":{{"healthPath":"/h","maxConns":100}}}},
        "tenants":{workspaces}}}"#,
        route("read", false),
        route("write", false),
        route("open", true),
    )
}

pub async fn store() -> (SocketAddr, Arc<RowsStandIn>, HttpListener) {
    let address = free_address().expect("a port");
    let (rows, listening) = RowsStandIn::start(address).await;
    (address, rows, listening)
}
