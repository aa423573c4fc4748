//! Callers that pipeline requests.

#![allow(missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bramleymount::emulator::free_address;
use bramleymount::web::{
    AnswerFuture, CallerAnswer, HttpListener, RequestHandler, caller_text, listen_pipelined,
};
use http::request::Parts;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, document, store, vm_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Long enough for a request on loopback to be started, if it is at all.
const START_WAIT: Duration = Duration::from_millis(150);
/// Time within which the requests of a disconnected caller are cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of requests that the handler doesn't start early.
const LATE_PATH: &str = "/own-turn";

/// Answers each request once its path is released.
#[derive(Clone)]
struct BlockingHandler(Arc<State>);

struct State {
    released: watch::Sender<BTreeSet<String>>,
    /// Path, arrival and body of each started request.
    started: Mutex<Vec<(String, Instant, String)>>,
    running: AtomicUsize,
}

struct RunningGuard(Arc<State>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl BlockingHandler {
    fn new() -> Self {
        Self(Arc::new(State {
            released: watch::Sender::default(),
            started: Mutex::default(),
            running: AtomicUsize::new(0),
        }))
    }

    fn release(&self, paths: &[&str]) {
        let paths = paths.iter().map(ToString::to_string);
        self.0
            .released
            .send_modify(|released| released.extend(paths));
    }

    fn started(&self) -> Vec<String> {
        let started = self.0.started.lock();
        started.iter().map(|(path, ..)| path.clone()).collect()
    }

    async fn wait_started(&self, paths: &[&str]) {
        eventually("the begin of requests", || async {
            (self.started() == paths).then_some(())
        })
        .await;
    }

    fn running(&self) -> usize {
        self.0.running.load(Ordering::SeqCst)
    }

    async fn run(self, parts: Parts, body: Option<Incoming>, arrived_at: Instant) -> CallerAnswer {
        self.0.running.fetch_add(1, Ordering::SeqCst);
        let _running = RunningGuard(Arc::clone(&self.0));
        let path = parts.uri.path().to_owned();
        let body = match body {
            Some(body) => body.collect().await.expect("a body").to_bytes(),
            None => bytes::Bytes::new(),
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        self.0.started.lock().push((path.clone(), arrived_at, text));
        let mut released = self.0.released.subscribe();
        let is_released = released.wait_for(|paths| paths.contains(&path)).await;
        drop(is_released.expect("a sender"));
        caller_text(StatusCode::OK, "text/plain", format!("answer to {path}"))
    }
}

impl RequestHandler for BlockingHandler {
    fn serve(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        _: SocketAddr,
    ) -> AnswerFuture {
        let (parts, body) = request.into_parts();
        Box::pin(self.clone().run(parts, Some(body), arrived_at))
    }

    fn start_early(&self, head: Parts, arrived_at: Instant, _: SocketAddr) -> Option<AnswerFuture> {
        let waits = head.uri.path() == LATE_PATH;
        (!waits).then(|| Box::pin(self.clone().run(head, None, arrived_at)) as AnswerFuture)
    }
}

/// A caller with one connection.
struct Caller {
    stream: TcpStream,
    read: Vec<u8>,
}

impl Caller {
    async fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self {
            stream,
            read: Vec::new(),
        }
    }

    async fn send(&mut self, text: &str) {
        let sent = self.stream.write_all(text.as_bytes()).await;
        sent.expect("bytes sent");
    }

    /// Reads an answer with a content length; `None` if the connection ends first.
    async fn answer(&mut self) -> Option<(String, String)> {
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let head = head.to_ascii_lowercase();
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|text| text.lines().next()?.parse().ok());
                let length: usize = length.unwrap_or_default();
                if rest.len() >= length {
                    let body = rest[..length].to_owned();
                    self.read.drain(..head.len() + 4 + length);
                    return Some((head, body));
                }
            }
            if self.stream.read_buf(&mut self.read).await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn expect(&mut self, path: &str) -> String {
        let (head, body) = self.answer().await.expect("an answer");
        assert_eq!(body, format!("answer to {path}"));
        head
    }
}

async fn serve(limit: usize) -> (BlockingHandler, HttpListener, Caller) {
    let handler = BlockingHandler::new();
    let address = free_address().expect("a port");
    let listening = listen_pipelined(address, limit, handler.clone()).await;
    let caller = Caller::new(address).await;
    (handler, listening.expect("a listener"), caller)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n")
}

#[rstest]
#[case::at_once(&["GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n"])]
#[case::one_by_one(&["GET /1 HTTP/1.1\r\nhost: a\r\n\r\n", "GET /2 HTTP/1.1\r\nhost: a\r\n\r\n"])]
#[case::head_in_parts(&["GET /1 HTTP/1.1\r\nho", "st: a\r\n\r", "\nGET /2 HT", "TP/1.1\r\n\r\n"])]
#[case::empty_lines(&["\r\nGET /1 HTTP/1.1\r\n\r\n\r\n", "\nGET /2 HTTP/1.1\r\n\r\n"])]
#[case::bare_line_feeds(&["GET /1 HTTP/1.1\nhost: a\n\nGET /2 HTTP/1.1\nhost: a\n\n"])]
#[case::length_of_none(&["GET /1 HTTP/1.1\r\n\r\nHEAD /2 HTTP/1.1\r\ncontent-length: 0\r\nconnection: keep-alive\r\n\r\n"])]
#[tokio::test]
async fn safe_requests_run_concurrently(#[case] parts: &[&str]) {
    let (handler, _listening, mut caller) = serve(8).await;
    for part in parts {
        caller.send(part).await;
        sleep(Duration::from_millis(20)).await;
    }
    handler.wait_started(&["/1", "/2"]).await;
}

#[tokio::test]
async fn answers_keep_the_order_of_requests() {
    let (handler, _listening, mut caller) = serve(8).await;
    caller.send(&(get("/1") + &get("/2") + &get("/3"))).await;
    handler.wait_started(&["/1", "/2", "/3"]).await;
    handler.release(&["/3", "/2"]);
    let early = timeout(START_WAIT, caller.answer()).await;
    assert!(early.is_err(), "an answer out of turn: {early:?}");
    handler.release(&["/1"]);
    for path in ["/1", "/2", "/3"] {
        caller.expect(path).await;
    }
    caller.send(&get("/4")).await;
    handler.wait_started(&["/1", "/2", "/3", "/4"]).await;
    handler.release(&["/4"]);
    caller.expect("/4").await;
}

#[rstest]
#[case::with_length("POST /2 HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello", "hello")]
#[case::empty("POST /2 HTTP/1.1\r\ncontent-length: 0\r\n\r\n", "")]
#[case::in_chunks(
    "POST /2 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "hello"
)]
#[tokio::test]
async fn unsafe_request_waits_and_blocks_later_ones(#[case] second: &str, #[case] body: &str) {
    let (handler, _listening, mut caller) = serve(8).await;
    caller.send(&(get("/1") + second + &get("/3"))).await;
    handler.wait_started(&["/1"]).await;
    sleep(START_WAIT).await;
    assert_eq!(handler.started(), ["/1"]);
    handler.release(&["/1"]);
    caller.expect("/1").await;
    handler.wait_started(&["/1", "/2"]).await;
    sleep(START_WAIT).await;
    assert_eq!(handler.started(), ["/1", "/2"]);
    handler.release(&["/2", "/3"]);
    caller.expect("/2").await;
    caller.expect("/3").await;
    assert_eq!(handler.0.started.lock()[1].2, body);
}

#[rstest]
#[case::with_body("/2", "content-length: 5\r\n\r\nhello")]
#[case::in_chunks("/2", "transfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[case::expects("/2", "expect: 100-continue\r\n\r\n")]
#[case::handler_says_so(LATE_PATH, "\r\n")]
#[tokio::test]
async fn unsuitable_safe_request_waits(#[case] path: &str, #[case] rest: &str) {
    let (handler, _listening, mut caller) = serve(8).await;
    let second = format!("GET {path} HTTP/1.1\r\n{rest}");
    caller.send(&(get("/1") + &second + &get("/3"))).await;
    handler.wait_started(&["/1"]).await;
    sleep(START_WAIT).await;
    assert_eq!(handler.started(), ["/1"]);
    handler.release(&["/1", path, "/3"]);
    for path in ["/1", path, "/3"] {
        caller.expect(path).await;
    }
}

#[rstest]
#[case::begun("GET /2 HTTP/1.1\r\n\r\n")]
#[case::waits("POST /2 HTTP/1.1\r\ncontent-length: 1\r\n\r\nx")]
#[tokio::test]
async fn arrival_is_when_the_head_is_complete(#[case] second: &str) {
    let (handler, _listening, mut caller) = serve(8).await;
    caller.send(&get("/1")).await;
    handler.wait_started(&["/1"]).await;
    caller.send(second).await;
    sleep(START_WAIT).await;
    let before = Instant::now();
    handler.release(&["/1", "/2"]);
    caller.expect("/1").await;
    caller.expect("/2").await;
    let arrived_at = handler.0.started.lock()[1].1;
    assert!(arrived_at < before, "{:?} late", arrived_at - before);
}

#[rstest]
#[case::none(0, 1)]
#[case::one(1, 1)]
#[case::two(2, 2)]
#[case::five(5, 5)]
#[tokio::test]
async fn concurrent_requests_stay_within_the_limit(#[case] limit: usize, #[case] most: usize) {
    let (handler, _listening, mut caller) = serve(limit).await;
    let paths: Vec<String> = (0..10).map(|place| format!("/{place}")).collect();
    let sent: String = paths.iter().map(|path| get(path)).collect();
    caller.send(&sent).await;
    for place in 0..paths.len() {
        let run = paths.len().min(place + most);
        let started: Vec<&str> = paths[..run].iter().map(String::as_str).collect();
        handler.wait_started(&started).await;
        sleep(Duration::from_millis(20)).await;
        assert_eq!(handler.started(), started);
        handler.release(&[&paths[place]]);
        caller.expect(&paths[place]).await;
    }
}

#[tokio::test]
async fn bytes_read_ahead_are_limited() {
    let (handler, _listening, mut caller) = serve(8).await;
    caller.send(&get("/1")).await;
    handler.wait_started(&["/1"]).await;
    let much = get("/own-turn").repeat(400_000);
    let sent = timeout(Duration::from_secs(2), caller.send(&much)).await;
    assert!(sent.is_err(), "{} bytes were read", much.len());
}

#[tokio::test]
async fn caller_that_disconnects_cancels_its_requests() {
    let (handler, _listening, mut caller) = serve(8).await;
    caller
        .send(&(get("/1") + &get("/2") + &get("/own-turn")))
        .await;
    handler.wait_started(&["/1", "/2"]).await;
    drop(caller);
    let left = Instant::now();
    eventually("the end of the work", || async {
        (handler.running() == 0).then_some(())
    })
    .await;
    assert!(
        left.elapsed() < CANCEL_TIMEOUT,
        "it took {:?}",
        left.elapsed()
    );
    sleep(START_WAIT).await;
    assert_eq!(handler.started(), ["/1", "/2"]);
}

// Guards against pipelined requests that are read and get no answer because the
// connection closes first.
#[tokio::test]
async fn disable_keep_alive_answers_all_requests_read_before_the_close() {
    let (handler, listening, mut caller) = serve(8).await;
    caller.send(&(get("/1") + &get("/2"))).await;
    handler.wait_started(&["/1", "/2"]).await;
    listening.disable_keep_alive();
    caller.send(&(get("/3") + &get(LATE_PATH))).await;
    handler.wait_started(&["/1", "/2", "/3"]).await;
    let paths = ["/1", "/2", "/3", LATE_PATH];
    handler.release(&paths);
    for path in &paths[..3] {
        let head = caller.expect(path).await;
        assert!(!head.contains("connection: close"), "{head}");
    }
    let last = caller.expect(LATE_PATH).await;
    assert!(last.contains("connection: close"), "{last}");
    caller.send(&get("/5")).await;
    assert_eq!(caller.answer().await, None);
    assert_eq!(handler.started(), paths);
}

#[rstest]
#[case::caller_asks("GET /2 HTTP/1.1\r\nconnection: close\r\n\r\n".to_owned())]
#[case::older_version("GET /2 HTTP/1.0\r\n\r\n".to_owned())]
#[case::head_too_large(format!("GET /2 HTTP/1.1\r\na: {}\r\nb: {}\r\n\r\n", "x".repeat(17_000), "x".repeat(17_000)))]
#[case::not_understood("GET /2\r\n\r\n".to_owned())]
#[tokio::test]
async fn requests_after_the_last_one_are_not_answered(#[case] last: String) {
    let (handler, _listening, mut caller) = serve(8).await;
    handler.release(&["/2", "/3"]);
    caller.send(&(get("/1") + &last + &get("/3"))).await;
    handler.wait_started(&["/1"]).await;
    sleep(START_WAIT).await;
    assert_eq!(handler.started(), ["/1"]);
    handler.release(&["/1"]);
    caller.expect("/1").await;
    caller.answer().await.expect("an answer");
    assert_eq!(caller.answer().await, None);
    assert!(!handler.started().contains(&"/3".to_owned()));
}

async fn pipelining_vm() -> (Vm, impl Sized) {
    let (address, rows, listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm_with("svc", address, "callers: {ahead: 8}").await;
    vm.wait_ready().await;
    assert_eq!(vm.announce("ready", 1).await.status, StatusCode::OK);
    (vm, (rows, listening))
}

fn ask(method: &str, path: &str, id: &str, deadline: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {deadline}\r\ncontent-length: 0\r\n\r\n"
    )
}

fn ids(vm: &Vm) -> Vec<String> {
    let runs = vm.record.runs.lock();
    runs.iter().map(|(id, ..)| id.clone()).collect()
}

#[tokio::test]
async fn daemon_starts_reads_early_but_not_at_most_once_calls() {
    let (vm, _kept) = pipelining_vm().await;
    let mut caller = Caller::new(vm.callers).await;
    let sent = ask("GET", "/read/slow", "r1", 600)
        + &ask("GET", "/read/x", "r2", 5000)
        + &ask("GET", "/write/x", "r3", 5000)
        + &ask("GET", "/read/x", "r4", 5000);
    caller.send(&sent).await;
    sleep(START_WAIT).await;
    assert_eq!(ids(&vm), ["r1", "r2"]);
    let mut answered = Vec::new();
    while answered.len() < 4 {
        let (head, _) = caller.answer().await.expect("an answer");
        let id = head.split("x-request-id: ").nth(1).expect("an id");
        answered.push((id[..2].to_owned(), head[9..12].to_owned()));
    }
    let expected = [("r1", "504"), ("r2", "200"), ("r3", "200"), ("r4", "200")];
    let expected = expected.map(|(id, status)| (id.to_owned(), status.to_owned()));
    assert_eq!(answered, expected);
}

#[tokio::test]
async fn daemon_counts_the_deadline_from_arrival() {
    let (vm, _kept) = pipelining_vm().await;
    let mut caller = Caller::new(vm.callers).await;
    let sent = ask("GET", "/read/slow", "r1", 600) + &ask("POST", "/write/x", "r2", 300);
    caller.send(&sent).await;
    let (first, _) = caller.answer().await.expect("an answer");
    let (second, _) = caller.answer().await.expect("an answer");
    assert_eq!((&first[9..12], &second[9..12]), ("504", "503"));
    assert_eq!(ids(&vm), ["r1"]);
}
