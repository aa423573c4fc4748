//! A daemon in a process of its own, with settings as on the platform.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bramleymount::emulator::free_address_on;
use bramleymount::web::HttpListener;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;

use super::rows::RowsStandIn;
use super::{eventually, request};

/// Held while a process is spawned or a free port is looked up. A spawned process
/// inherits all sockets until it runs its program, among them one that another test has
/// just bound and closed, whose port is then still in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());
/// Number of VMs that this process has started.
static VM_COUNT: AtomicU8 = AtomicU8::new(0);

/// Returns a loopback address of its own for a VM or a store, so that the free ports of
/// tests that run at the same time are not the same.
fn own_ip() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let vm = VM_COUNT.fetch_add(1, Ordering::Relaxed) % 100;
    Ipv4Addr::new(127, 100 + vm, high, low.max(1)).into()
}

fn free_port(ip: IpAddr) -> SocketAddr {
    let _alone = SPAWN_LOCK.lock();
    free_address_on(ip).expect("a port")
}

/// Starts the store's stand-in.
pub async fn store() -> (SocketAddr, Arc<RowsStandIn>, HttpListener) {
    let address = free_port(own_ip());
    let (rows, listening) = RowsStandIn::start(address).await;
    (address, rows, listening)
}

/// A daemon process, killed when dropped.
pub struct HostedProcess {
    child: Child,
    service: String,
    pub callers: SocketAddr,
    pub backend: SocketAddr,
    pub peers: SocketAddr,
    pub announcements: SocketAddr,
    readiness: SocketAddr,
    log: PathBuf,
}

impl HostedProcess {
    /// Starts a daemon, whose log goes to a file beside its settings.
    pub async fn start(service: &str, store: SocketAddr) -> Self {
        Self::start_with_grace(service, store, Duration::from_secs(6)).await
    }

    /// Starts a daemon that is killed `grace` after it is told to stop.
    pub async fn start_with_grace(service: &str, store: SocketAddr, grace: Duration) -> Self {
        Self::start_with(service, store, &format!("grace: {}ms", grace.as_millis())).await
    }

    /// Starts a daemon with additional lines of settings.
    pub async fn start_with(service: &str, store: SocketAddr, lines: &str) -> Self {
        let ip = own_ip();
        let port = || free_port(ip);
        let (callers, backend, announcements, readiness) = (port(), port(), port(), port());
        let peers = port();
        let text = format!(
            "data_centre: hall-a\nhall: hall-a\nservice: {service}\nlisten:\n  callers: {callers}\n  \
             peers: {peers}\n  operators: {}\nbackend: {backend}\nplatform: {store}\nhosting:\n  \
             announcements: {announcements}\n  readiness: {readiness}\ncallers: {{ahead: 8}}\n\
             log: {{level: info, format: json}}\n{lines}\n",
            port(),
        );
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let settings = directory.join(format!("hosted-{callers}.yaml"));
        std::fs::write(&settings, text).expect("settings");
        let log = settings.with_extension("log");
        let output = File::create(&log).expect("a log file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_bramleymountd"));
        command.arg(&settings).stdin(Stdio::null()).stdout(output);
        let spawning = SPAWN_LOCK.lock();
        let child = command.spawn().expect("the daemon");
        drop(spawning);
        Self {
            child,
            service: service.into(),
            callers,
            backend,
            peers,
            announcements,
            readiness,
            log,
        }
    }

    /// Announces the backend server; returns whether the daemon has acknowledged it.
    pub async fn announce(&self, sequence: u64) -> bool {
        let body = format!(
            r#"{{"upstream":"{}","address":"127.0.0.1:1","zone":"hall-a","version":"v1",
            "slots":20,"state":"ready","coldLeftS":0,"sequence":{sequence}}}"#,
            self.service
        );
        let server = format!("i-{}", self.backend.port());
        let url = format!("http://{}/instances/{server}", self.announcements);
        let answer = request(Method::PUT, &url, HeaderMap::new(), body.into()).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    /// Announces the backend server, and waits until the daemon is ready and has its
    /// configuration.
    pub async fn wait_serving(&self) {
        let ready = format!("http://{}/readyz", self.readiness);
        eventually("readiness", || async {
            let answer = request(Method::GET, &ready, HeaderMap::new(), Bytes::new()).await?;
            (answer.status == StatusCode::OK).then_some(())
        })
        .await;
        eventually("an acknowledgement", || async {
            self.announce(1).await.then_some(())
        })
        .await;
        eventually("a configuration", || async {
            self.log().contains("configuration in force").then_some(())
        })
        .await;
    }

    /// Returns what the daemon has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let spawning = SPAWN_LOCK.lock();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        drop(spawning);
        assert!(sent.expect("kill").success());
    }

    /// Returns the largest memory that the process has used so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kilobytes: u64 = kilobytes
            .and_then(|text| text.parse().ok())
            .expect("a size");
        kilobytes * 1024
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("descriptors").count()
    }

    /// Returns whether the process has exited and was not waited for.
    pub fn is_zombie(&self) -> bool {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a status");
        status.lines().any(|line| line.starts_with("State:\tZ"))
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a process").is_some()
    }

    /// Waits for the process to exit; returns its exit code, or `None` after a signal.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().expect("a process") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for HostedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
