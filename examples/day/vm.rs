//! A VM: the daemon as a process, and what its server and its operator send it.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bramleymount::emulator::free_address_on;
use bramleymount::web::{Client, ConnectionPool, Dialer, PoolLimits};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::site::{Service, VmGroup};

/// Time between a server's beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time between questions whether a daemon is ready.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the end of a daemon and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Time between looks whether a daemon has ended.
const EXIT_INTERVAL: Duration = Duration::from_millis(5);
/// How long callers and servers keep connections that they do not use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer to a beat or a probe, in bytes.
const MAX_ANSWER: usize = 4096;

/// Connections to one daemon.
pub(crate) type Pool = ConnectionPool<Full<Bytes>>;

/// Opens connections to a daemon and keeps up to `max_idle` of them.
pub(crate) fn connect(address: SocketAddr, max_idle: usize) -> Pool {
    let dialer = Dialer {
        address,
        local_ip: None,
        timeout: CONNECT_TIMEOUT,
        ack_timeout: None,
    };
    let limits = PoolLimits {
        max_idle,
        idle_timeout: IDLE_TIMEOUT,
    };
    ConnectionPool::new(dialer, limits)
}

#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) id: String,
    pub(crate) zone: Box<str>,
    /// Index of its server's service.
    pub(crate) service: usize,
    pub(crate) speed: f64,
    pub(crate) callers: SocketAddr,
    pub(crate) backend: SocketAddr,
    announcements: SocketAddr,
    readiness: SocketAddr,
    /// Connections of callers to the daemon.
    pub(crate) caller_pool: Pool,
    /// Connections of the VM's server to the daemon.
    pub(crate) server_pool: Pool,
    pub(crate) slots: Semaphore,
    /// Requests in the server's queue.
    pub(crate) queued: AtomicUsize,
    /// Moments of SIGTERM.
    pub(crate) stops: Mutex<Vec<Instant>>,
    pub(crate) is_ready: AtomicBool,
    beat: AtomicU64,
    process: Mutex<Option<Child>>,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
}

impl Vm {
    /// Allocates addresses and writes the daemon's settings to `dir`.
    ///
    /// # Errors
    ///
    /// No address is free, or the settings can't be written.
    pub(crate) fn new(
        index: usize,
        group: &VmGroup,
        service: (usize, &Service),
        store: SocketAddr,
        files: (&Path, &Path),
        grace: Duration,
    ) -> eyre::Result<Self> {
        let (binary, dir) = files;
        let ip = IpAddr::from(Ipv4Addr::new(127, 31, 0, index as u8 + 10));
        let (callers, backend) = (free_address_on(ip)?, free_address_on(ip)?);
        let (announcements, readiness) = (free_address_on(ip)?, free_address_on(ip)?);
        let (peers, operators) = (free_address_on(ip)?, free_address_on(ip)?);
        let settings = dir.join(format!("vm-{index}.yaml"));
        let yaml = format!(
            "data_centre: {zone}\nhall: {zone}\nservice: {name}\nlisten:\n  callers: {callers}\n  \
             peers: {peers}\n  operators: {operators}\nbackend: {backend}\nplatform: {store}\n\
             hosting:\n  announcements: {announcements}\n  readiness: {readiness}\n  \
             repeats: {{share: 0.2, window: 10s}}\ncallers: {{ahead: 8}}\nbalance: auto\n\
             grace: {grace}s\nlog: {{level: info, format: json}}\n",
            zone = group.zone,
            name = group.service,
            grace = grace.as_secs(),
        );
        std::fs::write(&settings, yaml)?;
        let (service_index, service) = service;
        Ok(Self {
            id: format!("i-{index:08x}"),
            zone: group.zone.clone(),
            service: service_index,
            speed: service.speeds[index % service.speeds.len()],
            callers,
            backend,
            announcements,
            readiness,
            caller_pool: connect(callers, 32),
            server_pool: connect(callers, 256),
            slots: Semaphore::new(service.slots),
            queued: AtomicUsize::new(0),
            stops: Mutex::default(),
            is_ready: AtomicBool::new(false),
            beat: AtomicU64::new(0),
            process: Mutex::default(),
            binary: binary.to_owned(),
            settings,
            log: dir.join(format!("vm-{index}.log")),
        })
    }

    /// Starts the daemon, with its output in a log file next to the settings.
    ///
    /// # Errors
    ///
    /// The log can't be opened, or the program can't be started.
    pub(crate) fn start(&self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(&self.binary)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock() = Some(process);
        Ok(())
    }

    /// Sends SIGTERM and waits for the end, then starts the daemon again. Returns the
    /// time that the stop took, or `None` if it outlasted `limit` and was killed.
    ///
    /// # Errors
    ///
    /// The signal can't be sent, or the daemon can't be started again.
    pub(crate) async fn restart(&self, limit: Duration) -> eyre::Result<Option<Duration>> {
        let Some(id) = self.process.lock().as_ref().map(Child::id) else {
            return Ok(Some(Duration::ZERO));
        };
        let begin = Instant::now();
        self.stops.lock().push(begin);
        let kill = Command::new("kill")
            .args(["-TERM", &id.to_string()])
            .status()?;
        eyre::ensure!(kill.success(), "failed to send SIGTERM to process {id}");
        let mut took = None;
        while took.is_none() && begin.elapsed() < limit {
            sleep(EXIT_INTERVAL).await;
            if self.has_ended() {
                took = Some(begin.elapsed());
            }
        }
        self.kill();
        sleep(RESTART_DELAY).await;
        self.start()?;
        Ok(took)
    }

    /// Returns whether the daemon was started and has ended.
    pub(crate) fn has_ended(&self) -> bool {
        let mut process = self.process.lock();
        let status = process.as_mut().map(Child::try_wait);
        matches!(status, Some(Ok(Some(_))))
    }

    fn kill(&self) {
        if let Some(mut process) = self.process.lock().take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Announces the VM's server to the daemon again and again.
    pub(crate) async fn announce(&self, service: &Service) {
        let client = Client::new(CONNECT_TIMEOUT, MAX_ANSWER);
        loop {
            let body = serde_json::json!({
                "upstream": service.name,
                "address": self.backend.to_string(),
                "zone": self.zone,
                "version": "v1",
                "slots": service.slots,
                "state": "ready",
                "coldLeftS": 0,
                "sequence": self.beat.fetch_add(1, Ordering::Relaxed) + 1,
            });
            let path = format!("http://{}/instances/{}", self.announcements, self.id);
            let request = Request::builder().method(Method::PUT).uri(path);
            if let Ok(request) = request.body(Full::new(Bytes::from(body.to_string()))) {
                let _ = client.send(request).await;
            }
            sleep(BEAT_INTERVAL).await;
        }
    }

    /// Asks the daemon again and again whether it is ready; two questions in a row
    /// without a 200 take it out.
    pub(crate) async fn probe(&self) {
        let client = Client::new(PROBE_INTERVAL / 2, MAX_ANSWER);
        let mut missed = 2;
        loop {
            let request = Request::get(format!("http://{}/readyz", self.readiness));
            if let Ok(request) = request.body(Full::new(Bytes::new())) {
                let answer = client.send(request).await;
                let ready = answer.is_ok_and(|answer| answer.status == 200);
                missed = if ready { 0 } else { missed + 1 };
            }
            self.is_ready.store(missed < 2, Ordering::Relaxed);
            sleep(PROBE_INTERVAL).await;
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
