//! A VM: the daemon as a process, and what its server and its operator send it.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bramleymount::emulator::free_address_on;
use bramleymount::web::{Client, ConnectionPool, Dialer, PoolLimits};
use bytes::Bytes;
use eyre::OptionExt;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use crate::site::{Place, Site};

/// Time between a server's beats, and between questions whether a daemon is ready.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);
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
    pub(crate) place: Place,
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
    pub(crate) queue: Semaphore,
    /// Moments of SIGTERM since the start of the day.
    pub(crate) stops: Mutex<Vec<Duration>>,
    pub(crate) is_ready: AtomicBool,
    process: Mutex<Option<Child>>,
    binary: PathBuf,
    settings: PathBuf,
}

impl Vm {
    /// Allocates addresses and writes the daemon's settings to `dir`.
    pub(crate) fn new(
        index: usize,
        place: &Place,
        site: &Site,
        store: SocketAddr,
        files: (&Path, &Path),
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
            zone = place.zone,
            name = place.service,
            grace = site.grace_s,
        );
        std::fs::write(&settings, yaml)?;
        let service = &site.services[&place.service];
        Ok(Self {
            id: format!("i-{index:08x}"),
            place: place.clone(),
            speed: service.speeds[index % service.speeds.len()],
            callers,
            backend,
            announcements,
            readiness,
            caller_pool: connect(callers, 32),
            server_pool: connect(callers, 256),
            slots: Semaphore::new(service.slots),
            queue: Semaphore::new(service.queue),
            stops: Mutex::default(),
            is_ready: AtomicBool::new(false),
            process: Mutex::default(),
            binary: binary.to_owned(),
            settings,
        })
    }

    /// Starts the daemon, with its output in a log file next to the settings.
    pub(crate) fn start(&self) -> eyre::Result<()> {
        let path = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(path)?;
        let process = Command::new(&self.binary)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock() = Some(process);
        Ok(())
    }

    /// Sends SIGTERM, waits for the end and starts the daemon again. Returns the time
    /// that the stop took; one that takes as long as `limit` is ended by SIGKILL.
    pub(crate) async fn restart(&self, limit: Duration) -> eyre::Result<Duration> {
        let id = self.process.lock().as_ref().map(Child::id);
        let id = id.ok_or_eyre("the daemon is not running")?.to_string();
        let begin = Instant::now();
        let kill = Command::new("kill").args(["-TERM", &id]).status()?;
        eyre::ensure!(kill.success(), "failed to send SIGTERM to process {id}");
        while !self.has_ended() && begin.elapsed() < limit {
            sleep(EXIT_INTERVAL).await;
        }
        let took = begin.elapsed();
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

    /// Announces the VM's server to the daemon again and again, and asks it whether it is
    /// ready; two questions in a row without a 200 take it out.
    pub(crate) async fn attend(&self, slots: usize) {
        let client = Client::new(BEAT_INTERVAL / 2, MAX_ANSWER);
        let mut missed = 2;
        for sequence in 1_u64.. {
            let beat = serde_json::json!({
                "upstream": self.place.service,
                "address": self.backend.to_string(),
                "zone": self.place.zone,
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "coldLeftS": 0,
                "sequence": sequence,
            });
            let beat = Full::new(Bytes::from(beat.to_string()));
            let path = format!("http://{}/instances/{}", self.announcements, self.id);
            if let Ok(request) = Request::put(path).body(beat) {
                let _ = client.send(request).await;
            }
            let question = Request::get(format!("http://{}/readyz", self.readiness));
            if let Ok(question) = question.body(Full::new(Bytes::new())) {
                let answer = client.send(question).await;
                let is_ready = answer.is_ok_and(|answer| answer.status == 200);
                missed = if is_ready { 0 } else { missed + 1 };
            }
            self.is_ready.store(missed < 2, Ordering::Relaxed);
            sleep(BEAT_INTERVAL).await;
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}
