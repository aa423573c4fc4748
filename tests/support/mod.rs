//! Shared helpers of the tests that run real daemons.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod crashing;
pub mod hosted;
pub mod hosted_process;
pub mod load;
pub mod rows;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramleymount::emulator::free_address;
use bramleymount::store::{MemoryPlatform, serve_standin};
use bramleymount::web::{Answer, Client, ThreadedServer};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::Full;

/// Timeout of [`eventually`], which only a failing test reaches.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Polls `done` until it returns a value.
///
/// # Panics
///
/// Panics after [`MAX_WAIT`], with `what` in the message.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, done: impl Fn() -> F) -> T {
    let end = Instant::now() + MAX_WAIT;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn platform() -> (SocketAddr, Arc<MemoryPlatform>, ThreadedServer) {
    let memory = Arc::new(MemoryPlatform::default());
    let address = free_address().expect("a port");
    let running = serve_standin(address, Arc::clone(&memory)).expect("the stand-in");
    (address, memory, running)
}

/// A daemon in a process of its own, killed when dropped.
pub struct DaemonProcess {
    pub child: Child,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    pub backend: SocketAddr,
    _settings: PathBuf,
}

impl DaemonProcess {
    pub fn start(
        name: &str,
        centre: &str,
        service: &str,
        platform: SocketAddr,
        neighbours: &[SocketAddr],
    ) -> Self {
        Self::start_with_output(
            name,
            centre,
            service,
            platform,
            neighbours,
            Stdio::inherit(),
        )
    }

    /// Starts a daemon whose standard output goes to `output`.
    pub fn start_with_output(
        name: &str,
        centre: &str,
        service: &str,
        platform: SocketAddr,
        neighbours: &[SocketAddr],
        output: Stdio,
    ) -> Self {
        let port = || free_address().expect("a port");
        let (callers, peers, operators, backend) = (port(), port(), port(), port());
        let neighbours: Vec<String> = neighbours.iter().map(|n| format!("\"{n}\"")).collect();
        let text = format!(
            "data_centre: {centre}\nhall: a\nservice: {service}\nlisten:\n  callers: {callers}\n  \
             peers: {peers}\n  operators: {operators}\nbackend: {backend}\nplatform: {platform}\n\
             neighbours: [{}]\ngrace: 20s\nlog: {{level: info, format: json}}\n",
            neighbours.join(", ")
        );
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}.yaml", callers.port()));
        std::fs::write(&path, text).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_bramleymountd"))
            .arg(&path)
            .stdout(output)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon");
        Self {
            child,
            callers,
            peers,
            operators,
            backend,
            _settings: path,
        }
    }

    /// Sends SIGTERM, which starts a planned stop.
    pub fn terminate(&self) {
        let done = Command::new("kill")
            .arg("-TERM")
            .arg(self.child.id().to_string())
            .status();
        assert!(done.expect("kill").success());
    }

    pub async fn announce(&self) {
        let url = format!("http://{}/v1/backend/announce", self.operators);
        eventually("announcement", || async {
            let answer = request(Method::POST, &url, HeaderMap::new(), Bytes::new()).await?;
            answer.status.is_success().then_some(())
        })
        .await;
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramleyctl"))
        .args(args)
        .output()
        .expect("bramleyctl")
}

pub fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

pub async fn request(method: Method, url: &str, headers: HeaderMap, body: Bytes) -> Option<Answer> {
    let client = Client::new(Duration::from_secs(20), 64 * 1024 * 1024);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = url.parse().expect("a URL");
    *request.headers_mut() = headers;
    client.send(request).await.ok()
}

pub fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let name = http::HeaderName::from_static(name);
            (name, HeaderValue::from_str(value).expect("a header value"))
        })
        .collect()
}

pub fn example(name: &str) -> String {
    format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"))
}
