//! The daemon process of one VM, and the record of its disturbances.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::estate::Addresses;

/// How long a daemon may take to stop after SIGTERM.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Start and end of a time span; an ongoing one has no end.
pub(crate) type Span = (Instant, Option<Instant>);

/// The signals that the soak sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Term,
    Interrupt,
    Kill,
    Stop,
    Continue,
    HangUp,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Interrupt => "-INT",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::HangUp => "-HUP",
        }
    }
}

/// One VM.
pub(crate) struct Vm {
    pub(crate) addresses: Addresses,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Faults of the VM: its daemon was killed, paused or cut off, or its backend
    /// server restarted.
    pub(crate) disturbances: Mutex<Vec<Span>>,
    /// Faults of the daemon alone: it was killed, paused or cut off.
    pub(crate) daemon_faults: Mutex<Vec<Span>>,
    /// Planned stops, from SIGTERM to the exit of the daemon.
    pub(crate) stops: Mutex<Vec<Span>>,
    /// When the daemon received SIGHUP.
    pub(crate) hang_ups: Mutex<Vec<Instant>>,
}

impl Vm {
    pub(crate) fn new(
        vm: usize,
        addresses: Addresses,
        binary: &Path,
        store: SocketAddr,
        dir: &Path,
    ) -> eyre::Result<Self> {
        let settings = dir.join(format!("vm-{vm}.yaml"));
        std::fs::write(&settings, addresses.settings_yaml(vm, store))?;
        Ok(Self {
            addresses,
            binary: binary.to_owned(),
            settings,
            log: dir.join(format!("vm-{vm}.log")),
            child: Mutex::default(),
            disturbances: Mutex::default(),
            daemon_faults: Mutex::default(),
            stops: Mutex::default(),
            hang_ups: Mutex::default(),
        })
    }

    /// Starts the daemon, with its output in a log file next to the settings.
    pub(crate) fn start(&self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child.lock() = Some(child);
        Ok(())
    }

    /// Sends a signal to the daemon process.
    pub(crate) fn signal(&self, signal: Signal) {
        if signal == Signal::HangUp {
            self.hang_ups.lock().push(Instant::now());
        }
        let id = self.child.lock().as_ref().map(Child::id);
        if let Some(id) = id {
            let sent = Command::new("kill")
                .args([signal.name(), &id.to_string()])
                .stderr(Stdio::null())
                .status();
            if !sent.is_ok_and(|status| status.success()) {
                eprintln!("failed to send {} to process {id}", signal.name());
            }
        }
    }

    /// Waits for the daemon to exit; returns whether it did within `timeout`.
    pub(crate) async fn wait_for_exit(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            let ended = match self.child.lock().as_mut() {
                Some(child) => matches!(child.try_wait(), Ok(Some(_))),
                None => true,
            };
            if ended {
                *self.child.lock() = None;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns whether the daemon is running.
    pub(crate) fn is_running(&self) -> bool {
        match self.child.lock().as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Records a fault of the daemon itself from `since` until now.
    pub(crate) fn record_daemon_fault(&self, since: Instant) {
        self.daemon_faults
            .lock()
            .push((since, Some(Instant::now())));
    }

    /// Records the start of a disturbance and returns its index.
    pub(crate) fn begin_disturbance(&self) -> usize {
        let mut disturbances = self.disturbances.lock();
        disturbances.push((Instant::now(), None));
        disturbances.len() - 1
    }

    /// Records the end of the disturbance with this index.
    pub(crate) fn end_disturbance(&self, index: usize) {
        if let Some(span) = self.disturbances.lock().get_mut(index) {
            span.1 = Some(Instant::now());
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(child) = self.child.lock().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns whether any span overlaps the time from `from` to `to`.
pub(crate) fn overlaps_any(spans: &[Span], from: Instant, to: Instant) -> bool {
    let mut spans = spans.iter();
    spans.any(|(begin, end)| *begin <= to && end.is_none_or(|end| end >= from))
}
