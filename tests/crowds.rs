//! Crowds of callers that hold what they can of a daemon and move nothing on.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{HttpListener, caller_text, listen};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use support::hosted::document;
use support::hosted_process::{HostedProcess, store};
use support::{eventually, headers, request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Memory of the VMs.
const MEMORY: u64 = 64 * 1024 * 1024;
/// Open descriptors that the daemons may use.
const DESCRIPTORS: usize = 400;
/// Settings with these limits.
const SETTINGS: &str = "vm: {memory: 64MB, descriptors: 400}";
/// Settings with the limit of memory only.
const MEMORY_SETTINGS: &str = "vm: {memory: 64MB}";
/// Timeout of the routes, in seconds.
const ROUTE_TIMEOUT: f64 = 10.0;

/// Length of a body that a daemon holds whole, in bytes.
const BODY_BYTES: usize = 500_000;
/// Length of a body that is streamed, in bytes.
const UPLOAD_BYTES: usize = 64 * 1024 * 1024;
/// What is sent of a streamed body, in bytes.
const SENT_BYTES: usize = 3 * 1024 * 1024;
const LARGE_CHUNK: usize = 32 * 1024;
const SMALL_CHUNK: usize = 64;
/// Length of a head without an end, in bytes.
const HEAD_BYTES: usize = 15_000;
/// Length of a large answer, in bytes.
const ANSWER_BYTES: usize = 400_000;
/// Length of an answer that is streamed, in bytes.
const DOWNLOAD_BYTES: usize = 16 * 1024 * 1024;
/// Requests sent ahead on one connection, with large answers, with small ones, and with
/// large bodies.
const LARGE_AHEAD: usize = 200;
const SMALL_AHEAD: usize = 2_000;
const BODIES_AHEAD: usize = 6;
/// Length of an ordinary caller's upload, in bytes.
const ORDINARY_BYTES: usize = 200_000;
/// How long a slow server takes for an answer.
const SERVER_TIME: Duration = Duration::from_secs(3);
/// Time between two announcements of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a member of a crowd tries to send what it has.
const SEND_TIME: Duration = Duration::from_secs(5);
/// How long a crowd stands still before daemons are looked at.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Receive buffer of a member of a crowd, in bytes.
const RECEIVE_BUFFER: u32 = 4096;

/// Held by a test while it runs, since the crowds of several would disturb each other.
static ALONE: Mutex<()> = Mutex::const_new(());

/// What each member of a crowd sends before it stands still.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// A body with a length, but for its last byte.
    Length,
    /// A whole body for a slow server.
    Whole,
    /// A whole body for a slow server, in a request that must not run twice.
    UnsafeWhole,
    /// A body in large chunks without the last one.
    LargeChunks,
    /// A body in small chunks without the last one.
    SmallChunks,
    /// The beginning of a long body with a length.
    Upload,
    /// The beginning of a long body in chunks.
    ChunkedUpload,
    /// A head without its end.
    Head,
    /// Requests with large answers, none of which is read.
    LargeAnswers,
    /// A request with an answer that is streamed, and not read.
    Download,
    /// The same with a request that must not run twice.
    UnsafeDownload,
    /// Many requests with small answers, none of which is read.
    SmallAnswers,
    /// Requests with large bodies, no answer to which is read.
    BodiesAhead,
    /// Nothing.
    Nothing,
    /// A request of another daemon, but for its last byte.
    Peer,
}

fn head(method: &str, path: &str, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: c1\r\n\
         x-deadline-ms: 60000\r\n{framing}\r\n"
    )
}

fn put(path: &str, length: usize, sent: usize) -> Vec<u8> {
    let head = head("PUT", path, &format!("content-length: {length}\r\n"));
    [head.as_bytes(), &vec![b'x'; sent]].concat()
}

fn chunked(path: &str, chunk: usize, total: usize) -> Vec<u8> {
    let head = head("PUT", path, "transfer-encoding: chunked\r\n");
    let chunk = [
        format!("{chunk:x}\r\n").as_bytes(),
        &vec![b'x'; chunk],
        b"\r\n",
    ]
    .concat();
    let count = total.div_ceil(chunk.len());
    [head.as_bytes(), &chunk.repeat(count)].concat()
}

impl Form {
    fn bytes(self) -> Vec<u8> {
        match self {
            Self::Length => put("/read/x", BODY_BYTES, BODY_BYTES - 1),
            Self::Whole => put("/read/slow", BODY_BYTES, BODY_BYTES),
            Self::UnsafeWhole => put("/write/slow", BODY_BYTES, BODY_BYTES),
            Self::LargeChunks => chunked("/read/x", LARGE_CHUNK, BODY_BYTES - LARGE_CHUNK),
            Self::SmallChunks => chunked("/read/x", SMALL_CHUNK, BODY_BYTES - SMALL_CHUNK),
            Self::Upload => put("/read/x", UPLOAD_BYTES, SENT_BYTES),
            Self::ChunkedUpload => chunked("/read/x", LARGE_CHUNK, SENT_BYTES),
            Self::Head => {
                let mut bytes = head("GET", "/read/x", "").into_bytes();
                bytes.truncate(bytes.len() - 2);
                bytes.extend_from_slice(b"x-more: ");
                bytes.resize(HEAD_BYTES, b'x');
                bytes
            }
            Self::LargeAnswers => head("GET", "/read/large", "")
                .repeat(LARGE_AHEAD)
                .into_bytes(),
            Self::Download => head("GET", "/read/download", "").into_bytes(),
            Self::UnsafeDownload => {
                head("POST", "/write/download", "content-length: 0\r\n").into_bytes()
            }
            Self::SmallAnswers => head("GET", "/read/x", "").repeat(SMALL_AHEAD).into_bytes(),
            Self::BodiesAhead => put("/read/large", BODY_BYTES, BODY_BYTES).repeat(BODIES_AHEAD),
            Self::Nothing => Vec::new(),
            Self::Peer => {
                let head = format!(
                    "POST /call HTTP/1.1\r\nhost: a.example\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
                );
                [head.as_bytes(), &[b'x'; BODY_BYTES - 1]].concat()
            }
        }
    }
}

/// Connects `count` callers, each of which sends `bytes` as far as it can and leaves its
/// connection open until it is dropped.
async fn gather(address: SocketAddr, count: usize, bytes: &Arc<[u8]>) -> Vec<TcpStream> {
    let members = (0..count).map(|_| {
        let bytes = Arc::clone(bytes);
        tokio::spawn(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .set_recv_buffer_size(RECEIVE_BUFFER)
                .expect("a buffer");
            let connected = timeout(SEND_TIME, socket.connect(address)).await;
            let mut stream = connected.ok()?.ok()?;
            // The daemon may refuse it, close the connection or read no further.
            let _ = timeout(SEND_TIME, stream.write_all(&bytes)).await;
            Some(stream)
        })
    });
    let members = join_all(members).await;
    sleep(SETTLE_TIME).await;
    members
        .into_iter()
        .filter_map(|member| member.expect("a member"))
        .collect()
}

/// Starts a backend server whose answers depend on the path.
async fn start_server(vm: &HostedProcess) -> HttpListener {
    let server = listen(vm.backend, |request, _| async {
        let (head, body) = request.into_parts();
        let _ = body.collect().await;
        if head.uri.path().ends_with("/slow") {
            sleep(SERVER_TIME).await;
        }
        let body: Bytes = match head.uri.path().rsplit('/').next() {
            Some("large") => vec![b'x'; ANSWER_BYTES].into(),
            Some("download") => vec![b'x'; DOWNLOAD_BYTES].into(),
            _ => Bytes::from_static(b"whole answer"),
        };
        let mut answer = caller_text(StatusCode::OK, "text/plain", body);
        let id = head.headers["x-request-id"].clone();
        answer.headers_mut().insert("x-request-id", id);
        answer
            .headers_mut()
            .extend(headers(&[("x-server-signature", "signed")]));
        answer
    });
    server.await.expect("a server")
}

/// Waits until an ordinary caller is served, without a body and with one.
async fn serve_ordinary(callers: SocketAddr) {
    let upload = Bytes::from(vec![b'x'; ORDINARY_BYTES]);
    let requests = [
        (Method::GET, "read", Bytes::new()),
        (Method::POST, "read", upload.clone()),
        (Method::POST, "write", upload),
    ];
    for (method, route, body) in requests {
        let url = format!("http://{callers}/{route}/x");
        eventually("an answer to an ordinary caller", || async {
            let sent: HeaderMap = headers(&[
                ("host", "a.example"),
                ("x-request-id", "o1"),
                ("x-deadline-ms", "5000"),
            ]);
            let answer = request(method.clone(), &url, sent, body.clone()).await?;
            let is_whole = answer.status == StatusCode::OK && answer.body == "whole answer";
            is_whole.then_some(())
        })
        .await;
    }
}

/// Announces a server again and again, as it does while it lives.
async fn send_heartbeats(vm: Arc<HostedProcess>) {
    for sequence in 2.. {
        sleep(HEARTBEAT_INTERVAL).await;
        vm.announce(sequence).await;
    }
}

/// Two VMs: calls to the service of `serving` that reach `entry` go over both daemons.
struct Site {
    entry: Arc<HostedProcess>,
    serving: Arc<HostedProcess>,
    _heartbeats: JoinSet<()>,
    _server: HttpListener,
    _store: HttpListener,
}

impl Site {
    async fn start(settings: &str) -> Self {
        let (address, rows, store) = store().await;
        rows.put("op", "config", &document(7, "svc", ROUTE_TIMEOUT));
        let serving = HostedProcess::start_with("svc", address, settings).await;
        let entry = HostedProcess::start_with("other", address, settings).await;
        let server = start_server(&serving).await;
        serving.wait_serving().await;
        entry.wait_serving().await;
        serve_ordinary(entry.callers).await;
        let (entry, serving) = (Arc::new(entry), Arc::new(serving));
        let mut heartbeats = JoinSet::new();
        for vm in [&entry, &serving] {
            heartbeats.spawn(send_heartbeats(Arc::clone(vm)));
        }
        Self {
            entry,
            serving,
            _heartbeats: heartbeats,
            _server: server,
            _store: store,
        }
    }

    /// Checks that both daemons run within their memory and serve ordinary callers.
    async fn check_memory(&self, stage: &str) {
        for vm in [&self.entry, &self.serving] {
            // A process that has ended has no memory.
            let memory = vm.peak_memory();
            assert!(
                memory <= MEMORY,
                "{stage}: {memory} bytes of memory at {}",
                vm.callers
            );
        }
        serve_ordinary(self.entry.callers).await;
        serve_ordinary(self.serving.callers).await;
    }
}

/// Guards against callers that make daemons hold more than the memory of their VMs: a
/// crowd at one daemon, and a second one on top of it at both.
#[rstest]
#[case::length(Form::Length, 160)]
#[case::whole(Form::Whole, 160)]
#[case::large_chunks(Form::LargeChunks, 160)]
#[case::small_chunks(Form::SmallChunks, 160)]
#[case::upload(Form::Upload, 160)]
#[case::chunked_upload(Form::ChunkedUpload, 160)]
#[case::head(Form::Head, 1500)]
#[case::large_answers(Form::LargeAnswers, 40)]
#[case::small_answers(Form::SmallAnswers, 60)]
#[case::bodies_ahead(Form::BodiesAhead, 160)]
#[case::unsafe_whole(Form::UnsafeWhole, 160)]
#[case::download(Form::Download, 160)]
#[case::unsafe_download(Form::UnsafeDownload, 160)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_stays_within_memory(#[case] form: Form, #[case] count: usize) {
    let _alone = ALONE.lock().await;
    let site = Site::start(MEMORY_SETTINGS).await;
    let bytes = form.bytes().into();
    let first = gather(site.entry.callers, count, &bytes).await;
    site.check_memory("first crowd").await;
    let (entry, serving) = (site.entry.callers, site.serving.callers);
    let second = tokio::join!(
        gather(entry, count / 2, &bytes),
        gather(serving, count / 2, &bytes)
    );
    site.check_memory("second crowd").await;
    drop((first, second));
    site.check_memory("no crowd").await;
}

/// Guards against requests at the port of other daemons that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_peers_stays_within_memory() {
    let _alone = ALONE.lock().await;
    let site = Site::start(MEMORY_SETTINGS).await;
    let crowd = gather(site.serving.peers, 160, &Form::Peer.bytes().into()).await;
    site.check_memory("crowd").await;
    drop(crowd);
    site.check_memory("no crowd").await;
}

/// The address that a crowd connects to.
#[derive(Clone, Copy, Debug)]
enum Port {
    Callers,
    Peers,
    Announcements,
}

/// Guards against connections that leave a daemon no descriptor for others.
#[rstest]
#[case::callers(Port::Callers, Form::Nothing)]
#[case::callers_with_bodies(Port::Callers, Form::Length)]
#[case::peers(Port::Peers, Form::Nothing)]
#[case::announcements(Port::Announcements, Form::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_leaves_descriptors(#[case] port: Port, #[case] form: Form) {
    let _alone = ALONE.lock().await;
    let site = Site::start(SETTINGS).await;
    let address = match port {
        Port::Callers => site.entry.callers,
        Port::Peers => site.entry.peers,
        Port::Announcements => site.entry.announcements,
    };
    let crowd = gather(address, 600, &form.bytes().into()).await;
    let open = site.entry.open_descriptors();
    assert!(open <= DESCRIPTORS, "{open} open descriptors");
    site.check_memory("crowd").await;
    let open = site.entry.open_descriptors();
    assert!(open <= DESCRIPTORS, "{open} open descriptors");
    drop(crowd);
    site.check_memory("no crowd").await;
}

/// Guards against crowds that keep a daemon from stopping: it ends by itself.
#[rstest]
#[case::length(Form::Length)]
#[case::download(Form::Download)]
#[case::nothing(Form::Nothing)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_beside_crowd(#[case] form: Form) {
    let _alone = ALONE.lock().await;
    let site = Site::start(MEMORY_SETTINGS).await;
    let crowd = gather(site.entry.callers, 160, &form.bytes().into()).await;
    site.check_memory("crowd").await;
    site.entry.signal("TERM");
    eventually("the end of the process", || async {
        site.entry.is_zombie().then_some(())
    })
    .await;
    drop(crowd);
    serve_ordinary(site.serving.callers).await;
}

/// Guards against limits that a single request of the largest size meets.
#[rstest]
#[case::idempotent("/read/x")]
#[case::unsafe_request("/write/x")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_request_is_served_in_calm(#[case] path: &str) {
    let _alone = ALONE.lock().await;
    let site = Site::start(MEMORY_SETTINGS).await;
    let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    let more = "x".repeat(HEAD_BYTES);
    for callers in [site.entry.callers, site.serving.callers] {
        let url = format!("http://{callers}{path}");
        eventually("an answer to the largest request", || async {
            let sent: HeaderMap = headers(&[
                ("host", "a.example"),
                ("x-request-id", "l1"),
                ("x-deadline-ms", "10000"),
                ("x-more", &more),
            ]);
            let answer = request(Method::PUT, &url, sent, upload.clone()).await?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await;
    }
    site.check_memory("calm").await;
}
