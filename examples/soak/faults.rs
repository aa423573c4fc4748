//! Overlapping faults, drawn at random from a seed.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::HttpListener;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Args;
use crate::backend::Backend;
use crate::check::{MEASUREMENT_SLACK, UNDISTURBED_TIME, VERSION_DELAY};
use crate::estate::configuration_document;
use crate::proxy::{Mode, Proxy};
use crate::rows::{RowsFault, RowsStandIn};
use crate::vm::{GRACE_PERIOD, Signal, Span, Vm};

/// How long to wait for a daemon's exit beyond its grace period.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Time until a server that leaves may end: the platform's bound and 500 ms more.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Time until all requests that a server has begun have ended.
const MAX_RUN_TIME: Duration = Duration::from_millis(2500);

/// Minimum time that a server keeps a rate limit: until the limit is enforced,
/// and one window of the check.
const MIN_LIMIT_TIME: Duration = Duration::from_secs(8);
/// Rate limits that servers name, in requests per second.
const SERVER_RATES: [f64; 4] = [0.0, 0.8, 4.5, 15.0];

/// Time until the delegates query the feed again after a version.
const FEED_RENEWAL_TIME: Duration = Duration::from_millis(300);
/// How long the store loses answers, in milliseconds.
const LAPSE_MS: Range<u64> = 100..5000;

/// How long a server stays down after a deadly request crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_secs(1);

/// A fault or a planned operation.
///
/// The names are printed in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    Terminate,
    Pause,
    HangUp,
    Cut(Mode),
    Store(RowsFault),
    /// The store refuses connections.
    StoreDown,
    /// The store loses the answers to calls in progress; a version follows when time
    /// bounds hold again.
    StoreLapse,
    /// The backend server crashes and restarts, with the same id or a new one.
    Crash {
        same_id: bool,
    },
    /// The backend server announces that it leaves and is replaced.
    Replace,
    /// The backend server announces that it leaves and ends, then the daemon is
    /// stopped, and both are started again.
    Retire,
    /// The backend server is replaced, and only its answers say that it leaves.
    Slip,
    /// The backend server names a rate limit in its answers.
    Need,
    Configure {
        count: u32,
    },
}

const FAULTS: [Fault; 25] = [
    Fault::Kill,
    Fault::Kill,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Terminate,
    Fault::Pause,
    Fault::HangUp,
    Fault::Cut(Mode::Delay(Duration::from_millis(100))),
    Fault::Cut(Mode::Silent),
    Fault::Cut(Mode::OneWay),
    Fault::Cut(Mode::Reset),
    Fault::Store(RowsFault::Busy),
    Fault::Store(RowsFault::Silent),
    Fault::Store(RowsFault::LoseAnswers),
    Fault::StoreDown,
    Fault::Crash { same_id: true },
    Fault::Crash { same_id: false },
    Fault::Replace,
    Fault::Retire,
    Fault::Slip,
    Fault::Need,
    Fault::Need,
    Fault::Need,
    Fault::Configure { count: 3 },
];

impl Fault {
    /// Returns whether a fault excuses no loss: it is planned, or of the store.
    const fn is_planned(self) -> bool {
        match self {
            Self::Terminate
            | Self::Retire
            | Self::HangUp
            | Self::Store(_)
            | Self::StoreDown
            | Self::StoreLapse
            | Self::Configure { .. } => true,
            Self::Kill
            | Self::Pause
            | Self::Cut(_)
            | Self::Crash { .. }
            | Self::Replace
            | Self::Slip
            | Self::Need => false,
        }
    }
}

/// What may begin at the same time as a planned stop, besides a stop of another VM.
const BESIDE_STOPS: [Fault; 2] = [Fault::StoreDown, Fault::Configure { count: 3 }];
/// The signals that follow the SIGTERM of a planned stop.
const REPEATED_SIGNALS: [Signal; 5] = [
    Signal::Term,
    Signal::Term,
    Signal::Term,
    Signal::Interrupt,
    Signal::HangUp,
];
/// Maximum number of further signals of a planned stop.
const MAX_REPEATED_SIGNALS: usize = 3;
/// Time between two signals, in milliseconds.
const SIGNAL_PAUSE_MS: Range<u64> = 0..3000;

/// Further signals of a planned stop, each with the pause before it.
type SignalSeries = Vec<(Duration, Signal)>;

fn draw_series(rng: &mut StdRng) -> SignalSeries {
    let count = rng.random_range(0..=MAX_REPEATED_SIGNALS);
    let mut draw = || {
        let pause = Duration::from_millis(rng.random_range(SIGNAL_PAUSE_MS));
        let signal = REPEATED_SIGNALS.choose(rng).copied();
        (pause, signal.unwrap_or(Signal::Term))
    };
    (0..count).map(|_| draw()).collect()
}

/// A configuration version and when the store accepted it.
pub(crate) type AcceptedVersion = (u64, Instant);

/// Everything that faults act on, and the log of the faults.
pub(crate) struct World {
    pub(crate) vms: Vec<Vm>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) backends: Vec<tokio::sync::Mutex<Backend>>,
    pub(crate) store: Arc<RowsStandIn>,
    pub(crate) store_address: SocketAddr,
    /// The store's listener, while it accepts connections.
    pub(crate) store_listener: Mutex<Option<HttpListener>>,
    pub(crate) versions: Mutex<Vec<AcceptedVersion>>,
    /// When the store had a fault.
    pub(crate) store_faults: Mutex<Vec<Span>>,
    /// By VM: when the leaving of its server was acknowledged, and when the
    /// server was shut down.
    pub(crate) departures: Mutex<Vec<(usize, Instant, Instant)>>,
    /// The injected faults, for the report.
    pub(crate) fault_log: Mutex<Vec<(Instant, String)>>,
    /// Failures found while the faults are injected.
    pub(crate) failures: Mutex<Vec<String>>,
}

impl World {
    /// Writes the next configuration version to the store.
    pub(crate) fn publish_version(&self) {
        let mut versions = self.versions.lock();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        self.store
            .put("op", "config", &configuration_document(version));
        versions.push((version, Instant::now()));
    }

    fn log_fault(&self, vm: usize, fault: Fault) {
        let text = format!("vm {vm}: {fault:?}");
        self.fault_log.lock().push((Instant::now(), text));
    }

    /// Injects one fault and waits until it has ended.
    ///
    /// `series` are the further signals of a planned stop.
    async fn inject(&self, vm: usize, fault: Fault, time: Duration, series: SignalSeries) {
        self.log_fault(vm, fault);
        match fault {
            Fault::Kill => self.kill(vm, time).await,
            Fault::Terminate => self.terminate(vm, series).await,
            Fault::Pause => self.pause(vm, time).await,
            Fault::HangUp => self.vms[vm].signal(Signal::HangUp),
            Fault::Cut(mode) => self.disturb_proxy(vm, mode, time).await,
            Fault::Store(fault) => self.disturb_store(fault, time).await,
            Fault::StoreDown => self.stop_store(time).await,
            Fault::StoreLapse => self.lose_answers(time).await,
            Fault::Crash { same_id } => self.crash(vm, same_id, time).await,
            Fault::Replace => self.replace(vm).await,
            Fault::Retire => self.retire(vm, series).await,
            Fault::Slip => self.leave_by_answers(vm).await,
            Fault::Need => self.limit_rate(vm, time).await,
            Fault::Configure { count } => {
                for _ in 0..count {
                    self.publish_version();
                    tokio::time::sleep(Duration::from_millis(300)).await;
                }
            }
        }
    }

    async fn kill(&self, vm: usize, time: Duration) {
        let (index, since) = (self.vms[vm].begin_disturbance(), Instant::now());
        self.vms[vm].signal(Signal::Kill);
        self.vms[vm].wait_for_exit(STOP_SLACK).await;
        tokio::time::sleep(time).await;
        self.start(vm);
        self.vms[vm].record_daemon_fault(since);
        self.vms[vm].end_disturbance(index);
    }

    async fn terminate(&self, vm: usize, series: SignalSeries) {
        let daemon = &self.vms[vm];
        let start = Instant::now();
        daemon.stops.lock().push((start, None));
        daemon.signal(Signal::Term);
        let signals = async {
            for (pause, signal) in series {
                tokio::time::sleep(pause).await;
                daemon.signal(signal);
                let text = format!("vm {vm}: {signal:?} while it stops");
                self.fault_log.lock().push((Instant::now(), text));
            }
            std::future::pending::<()>().await;
        };
        let ended = tokio::select! {
            ended = daemon.wait_for_exit(GRACE_PERIOD + STOP_SLACK) => ended,
            () = signals => false,
        };
        let duration = start.elapsed();
        let alone = !crate::vm::overlaps_any(&daemon.disturbances.lock(), start, Instant::now());
        if !ended || duration > GRACE_PERIOD && alone {
            let text =
                format!("LOST: vm {vm} took {duration:?} to stop, {GRACE_PERIOD:?} are its grace");
            self.failures.lock().push(text);
        }
        if !ended {
            self.kill(vm, Duration::ZERO).await;
            return;
        }
        if let Some(span) = daemon.stops.lock().last_mut() {
            span.1 = Some(Instant::now());
        }
        self.start(vm);
    }

    fn start(&self, vm: usize) {
        if let Err(e) = self.vms[vm].start() {
            self.failures
                .lock()
                .push(format!("vm {vm} does not start: {e}"));
        }
    }

    async fn pause(&self, vm: usize, time: Duration) {
        let (index, since) = (self.vms[vm].begin_disturbance(), Instant::now());
        self.vms[vm].signal(Signal::Stop);
        tokio::time::sleep(time).await;
        self.vms[vm].signal(Signal::Continue);
        self.vms[vm].record_daemon_fault(since);
        self.vms[vm].end_disturbance(index);
    }

    async fn disturb_proxy(&self, vm: usize, mode: Mode, time: Duration) {
        let (index, since) = (self.vms[vm].begin_disturbance(), Instant::now());
        self.proxies[vm].set_mode(mode);
        tokio::time::sleep(time).await;
        self.proxies[vm].set_mode(Mode::Pass);
        self.vms[vm].record_daemon_fault(since);
        self.vms[vm].end_disturbance(index);
    }

    async fn disturb_store(&self, fault: RowsFault, time: Duration) {
        self.store_faults.lock().push((Instant::now(), None));
        self.store.set_fault(fault);
        tokio::time::sleep(time).await;
        self.store.set_fault(RowsFault::None);
        if let Some(span) = self.store_faults.lock().last_mut() {
            span.1 = Some(Instant::now());
        }
    }

    async fn stop_store(&self, time: Duration) {
        self.store_faults.lock().push((Instant::now(), None));
        *self.store_listener.lock() = None;
        tokio::time::sleep(time).await;
        let listener = self.store.listen(self.store_address).await;
        *self.store_listener.lock() = Some(listener);
        if let Some(span) = self.store_faults.lock().last_mut() {
            span.1 = Some(Instant::now());
        }
    }

    /// Loses the answers to all calls to the store for some time. The version before it
    /// makes all delegates query the feed.
    async fn lose_answers(&self, time: Duration) {
        self.publish_version();
        tokio::time::sleep(FEED_RENEWAL_TIME).await;
        let begin = Instant::now();
        self.store_faults.lock().push((begin, Some(begin + time)));
        self.store.lose_answers_for(time);
        tokio::time::sleep(time + UNDISTURBED_TIME + MEASUREMENT_SLACK).await;
        self.publish_version();
        tokio::time::sleep(VERSION_DELAY * 2).await;
    }

    async fn crash(&self, vm: usize, same_id: bool, time: Duration) {
        let index = self.vms[vm].begin_disturbance();
        let mut backend = self.backends[vm].lock().await;
        backend.crash();
        tokio::time::sleep(time).await;
        self.restart(vm, &mut backend, same_id).await;
        self.vms[vm].end_disturbance(index);
    }

    /// Restarts the backend server of a VM whenever a deadly request crashes it.
    pub(crate) async fn restart_crashed(&self, vm: usize) {
        loop {
            let crash = self.backends[vm].lock().await.wait_for_crash();
            crash.await;
            let index = self.vms[vm].begin_disturbance();
            tokio::time::sleep(CRASH_DOWNTIME).await;
            let mut backend = self.backends[vm].lock().await;
            if backend.is_down() {
                self.restart(vm, &mut backend, false).await;
            }
            self.vms[vm].end_disturbance(index);
        }
    }

    /// Makes a server name a rate limit for a while; other faults of its VM may overlap.
    async fn limit_rate(&self, vm: usize, time: Duration) {
        let rate = SERVER_RATES[time.as_millis() as usize % SERVER_RATES.len()];
        let began = self.backends[vm].lock().await.begin_limit(rate);
        if began {
            tokio::time::sleep(MIN_LIMIT_TIME + time).await;
            self.backends[vm].lock().await.end_limit();
        }
    }

    async fn leave_by_answers(&self, vm: usize) {
        let mut backend = self.backends[vm].lock().await;
        backend.signal_leaving();
        tokio::time::sleep(LEAVE_TIME * 2).await;
        let index = self.vms[vm].begin_disturbance();
        backend.crash();
        self.restart(vm, &mut backend, false).await;
        self.vms[vm].end_disturbance(index);
    }

    async fn replace(&self, vm: usize) {
        let mut backend = self.backends[vm].lock().await;
        if backend.announce_leaving(LEAVE_TIME).await {
            tokio::time::sleep(LEAVE_TIME).await;
        }
        let left = backend.leave_ack();
        // The crash closes the connections to the old server, which counts as a
        // disturbance.
        let index = self.vms[vm].begin_disturbance();
        backend.crash();
        if let Some(left) = left {
            self.departures.lock().push((vm, left, Instant::now()));
        }
        self.restart(vm, &mut backend, false).await;
        self.vms[vm].end_disturbance(index);
    }

    async fn retire(&self, vm: usize, series: SignalSeries) {
        let mut backend = self.backends[vm].lock().await;
        backend.announce_leaving(LEAVE_TIME).await;
        tokio::time::sleep(LEAVE_TIME + MAX_RUN_TIME).await;
        let left = backend.leave_ack();
        // Requests in progress end with the server only if nobody was told.
        let index = left.is_none().then(|| self.vms[vm].begin_disturbance());
        backend.crash();
        if let Some(left) = left {
            self.departures.lock().push((vm, left, Instant::now()));
        }
        self.terminate(vm, series).await;
        self.restart(vm, &mut backend, false).await;
        if let Some(index) = index {
            self.vms[vm].end_disturbance(index);
        }
    }

    async fn restart(&self, vm: usize, backend: &mut Backend, same_id: bool) {
        if let Err(e) = backend.start(same_id).await {
            self.failures
                .lock()
                .push(format!("server {vm} does not start: {e}"));
        }
    }
}

/// Injects faults until `end`, at most one at a time for each VM.
///
/// Rate limits and faults of the store are not counted among those of a VM. Planned
/// stops consist of a single signal each if `single_signals` is set.
pub(crate) async fn inject_faults(world: &Arc<World>, args: &Args, end: Instant) {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let allowed = |fault: &Fault| !args.planned || fault.is_planned();
    let drawn: Vec<Fault> = FAULTS.into_iter().filter(allowed).collect();
    let busy = Arc::new(Mutex::new(vec![false; world.vms.len()]));
    let store_busy = Arc::new(tokio::sync::Mutex::new(()));
    let mut running_faults = JoinSet::new();
    while Instant::now() < end {
        let fault = *drawn.choose(&mut rng).unwrap_or(&Fault::HangUp);
        let mut faults = vec![fault];
        if fault == Fault::Terminate {
            match rng.random_range(0..3) {
                0 => faults.push(Fault::Terminate),
                1 => faults.extend(BESIDE_STOPS.choose(&mut rng)),
                _ => {}
            }
        }
        for fault in faults {
            let vm = rng.random_range(0..world.vms.len());
            let time = Duration::from_millis(rng.random_range(200..2500));
            let mut series = draw_series(&mut rng);
            if args.single_signals {
                series.clear();
            }
            let (world, busy, store_busy) = (
                Arc::clone(world),
                Arc::clone(&busy),
                Arc::clone(&store_busy),
            );
            match fault {
                Fault::Need => {
                    running_faults
                        .spawn(async move { world.inject(vm, fault, time, series).await });
                }
                Fault::Store(_) | Fault::StoreDown | Fault::Configure { .. } => {
                    running_faults.spawn(async move {
                        let _alone = store_busy.lock().await;
                        world.inject(vm, fault, time, series).await;
                    });
                }
                _ if !std::mem::replace(&mut busy.lock()[vm], true) => {
                    running_faults.spawn(async move {
                        world.inject(vm, fault, time, series).await;
                        busy.lock()[vm] = false;
                    });
                }
                _ => {}
            }
        }
        let pause = Duration::from_millis(rng.random_range(100..1200));
        tokio::time::sleep(pause).await;
    }
    while running_faults.join_next().await.is_some() {}
}

/// Makes the store lose answers once, after all other faults have ended: a daemon that
/// starts reads the newest version and passes it on to those that wait for lost answers.
pub(crate) async fn lapse_store(world: &World, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let time = Duration::from_millis(rng.random_range(LAPSE_MS));
    world
        .inject(0, Fault::StoreLapse, time, SignalSeries::new())
        .await;
}
