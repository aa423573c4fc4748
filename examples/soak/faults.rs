//! The faults, in a random order that a seed gives; they overlap.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::backend::Backend;
use crate::estate::document;
use crate::proxy::{Mode, Proxy};
use crate::rows::{RowsFault, RowsStandIn};
use crate::vm::{GRACE, Signal, Span, Vm};

/// How much longer than its grace a daemon is waited for.
const PATIENCE: Duration = Duration::from_secs(1);
/// Until a server that leaves may end: the platform's bound, and a little more.
const LEAVING: Duration = Duration::from_millis(2500);

/// How long a server is in need at the least: until the bound holds, and a window.
const NEED: Duration = Duration::from_secs(8);
/// The requests a second that servers in need take.
const LIMITS: [f64; 4] = [0.0, 0.8, 4.5, 15.0];

/// How long a server is away that a request has crashed.
const CRASHED: Duration = Duration::from_secs(1);

/// The kinds of faults and of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    Terminate,
    Pause,
    HangUp,
    Cut(Mode),
    Store(RowsFault),
    /// The backend server crashes and is back, perhaps under its id.
    Crash {
        same_id: bool,
    },
    /// The backend server leaves as planned, and another one comes.
    Replace,
    /// The same, but only its answers say so.
    Slip,
    /// The backend server names how many requests a second it takes.
    Need,
    Configure {
        count: u32,
    },
}

const FAULTS: [Fault; 22] = [
    Fault::Kill,
    Fault::Kill,
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
    Fault::Crash { same_id: true },
    Fault::Crash { same_id: false },
    Fault::Replace,
    Fault::Slip,
    Fault::Need,
    Fault::Need,
    Fault::Need,
    Fault::Configure { count: 3 },
];

/// A version of the configuration, and when it was acknowledged.
pub(crate) type Accepted = (u64, Instant);

/// All that faults act on.
pub(crate) struct World {
    pub(crate) vms: Vec<Vm>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) backends: Vec<tokio::sync::Mutex<Backend>>,
    pub(crate) store: Arc<RowsStandIn>,
    pub(crate) versions: Mutex<Vec<Accepted>>,
    /// When the store was disturbed.
    pub(crate) store_spans: Mutex<Vec<Span>>,
    /// When an acknowledgement came that a VM's server leaves, and when
    /// another server was there.
    pub(crate) leaving: Mutex<Vec<(usize, Instant, Instant)>>,
    /// What was done, for people.
    pub(crate) steps: Mutex<Vec<(Instant, String)>>,
    /// What broke at once.
    pub(crate) broken: Mutex<Vec<String>>,
}

impl World {
    /// Sends a version to the store, which acknowledges it.
    pub(crate) fn configure(&self) {
        let mut versions = self.versions.lock();
        let version = versions.last().map_or(1, |(version, _)| version + 1);
        self.store.put("op", "config", &document(version));
        versions.push((version, Instant::now()));
    }

    fn step(&self, vm: usize, fault: Fault) {
        let text = format!("vm {vm}: {fault:?}");
        self.steps.lock().push((Instant::now(), text));
    }

    /// Injects one fault and waits until it is over.
    async fn inject(&self, vm: usize, fault: Fault, time: Duration) {
        self.step(vm, fault);
        match fault {
            Fault::Kill => self.kill(vm, time).await,
            Fault::Terminate => self.terminate(vm).await,
            Fault::Pause => self.pause(vm, time).await,
            Fault::HangUp => self.vms[vm].signal(Signal::HangUp),
            Fault::Cut(mode) => self.cut(vm, mode, time).await,
            Fault::Store(trouble) => self.trouble(trouble, time).await,
            Fault::Crash { same_id } => self.crash(vm, same_id, time).await,
            Fault::Replace => self.replace(vm).await,
            Fault::Slip => self.slip(vm).await,
            Fault::Need => self.need(vm, time).await,
            Fault::Configure { count } => {
                for _ in 0..count {
                    self.configure();
                    tokio::time::sleep(Duration::from_millis(300)).await;
                }
            }
        }
    }

    async fn kill(&self, vm: usize, time: Duration) {
        let (place, since) = (self.vms[vm].disturb(), Instant::now());
        self.vms[vm].signal(Signal::Kill);
        self.vms[vm].wait(PATIENCE).await;
        tokio::time::sleep(time).await;
        self.start(vm);
        self.vms[vm].upset(since);
        self.vms[vm].calm(place);
    }

    async fn terminate(&self, vm: usize) {
        let daemon = &self.vms[vm];
        let told = Instant::now();
        daemon.stops.lock().push((told, None));
        daemon.signal(Signal::Term);
        let ended = daemon.wait(GRACE + PATIENCE).await;
        let took = told.elapsed();
        let alone = !crate::vm::touches(&daemon.disturbed.lock(), told, Instant::now());
        if !ended || took > GRACE && alone {
            let text = format!("LOST: vm {vm} took {took:?} to stop, {GRACE:?} are its grace");
            self.broken.lock().push(text);
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
            self.broken
                .lock()
                .push(format!("vm {vm} does not start: {e}"));
        }
    }

    async fn pause(&self, vm: usize, time: Duration) {
        let (place, since) = (self.vms[vm].disturb(), Instant::now());
        self.vms[vm].signal(Signal::Stop);
        tokio::time::sleep(time).await;
        self.vms[vm].signal(Signal::Continue);
        self.vms[vm].upset(since);
        self.vms[vm].calm(place);
    }

    async fn cut(&self, vm: usize, mode: Mode, time: Duration) {
        let (place, since) = (self.vms[vm].disturb(), Instant::now());
        self.proxies[vm].set(mode);
        tokio::time::sleep(time).await;
        self.proxies[vm].set(Mode::Pass);
        self.vms[vm].upset(since);
        self.vms[vm].calm(place);
    }

    async fn trouble(&self, trouble: RowsFault, time: Duration) {
        self.store_spans.lock().push((Instant::now(), None));
        self.store.set_fault(trouble);
        tokio::time::sleep(time).await;
        self.store.set_fault(RowsFault::None);
        if let Some(span) = self.store_spans.lock().last_mut() {
            span.1 = Some(Instant::now());
        }
    }

    async fn crash(&self, vm: usize, same_id: bool, time: Duration) {
        let place = self.vms[vm].disturb();
        let mut backend = self.backends[vm].lock().await;
        backend.crash();
        tokio::time::sleep(time).await;
        self.restart(vm, &mut backend, same_id).await;
        self.vms[vm].calm(place);
    }

    /// Starts the server of a VM again whenever a request has crashed it.
    pub(crate) async fn keep_up(&self, vm: usize) {
        loop {
            let crashes = self.backends[vm].lock().await.crashes();
            crashes.await;
            let place = self.vms[vm].disturb();
            tokio::time::sleep(CRASHED).await;
            let mut backend = self.backends[vm].lock().await;
            if backend.is_down() {
                self.restart(vm, &mut backend, false).await;
            }
            self.vms[vm].calm(place);
        }
    }

    /// Lets a server be in need, whatever else happens to its VM.
    async fn need(&self, vm: usize, time: Duration) {
        let rate = LIMITS[time.as_millis() as usize % LIMITS.len()];
        let began = self.backends[vm].lock().await.limit(rate);
        if began {
            tokio::time::sleep(NEED + time).await;
            self.backends[vm].lock().await.recover();
        }
    }

    async fn slip(&self, vm: usize) {
        let mut backend = self.backends[vm].lock().await;
        backend.say_leaving();
        tokio::time::sleep(LEAVING * 2).await;
        let place = self.vms[vm].disturb();
        backend.crash();
        self.restart(vm, &mut backend, false).await;
        self.vms[vm].calm(place);
    }

    async fn replace(&self, vm: usize) {
        let mut backend = self.backends[vm].lock().await;
        if backend.leave(LEAVING).await {
            tokio::time::sleep(LEAVING).await;
        }
        let left = backend.left();
        // From here on connections to the former server are closed.
        let place = self.vms[vm].disturb();
        backend.crash();
        if let Some(left) = left {
            self.leaving.lock().push((vm, left, Instant::now()));
        }
        self.restart(vm, &mut backend, false).await;
        self.vms[vm].calm(place);
    }

    async fn restart(&self, vm: usize, backend: &mut Backend, same_id: bool) {
        if let Err(e) = backend.start(same_id).await {
            self.broken
                .lock()
                .push(format!("server {vm} does not start: {e}"));
        }
    }
}

/// Injects faults until `end`, one VM having one at a time.
pub(crate) async fn play(world: &Arc<World>, seed: u64, end: Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let busy = Arc::new(Mutex::new(vec![false; world.vms.len()]));
    let store_busy = Arc::new(tokio::sync::Mutex::new(()));
    let mut under_way = JoinSet::new();
    while Instant::now() < end {
        let fault = *FAULTS.choose(&mut rng).unwrap_or(&Fault::HangUp);
        let vm = rng.random_range(0..world.vms.len());
        let time = Duration::from_millis(rng.random_range(200..2500));
        let pause = Duration::from_millis(rng.random_range(100..1200));
        let shared = matches!(fault, Fault::Store(_) | Fault::Configure { .. });
        if fault == Fault::Need {
            let world = Arc::clone(world);
            under_way.spawn(async move { world.inject(vm, fault, time).await });
            tokio::time::sleep(pause).await;
            continue;
        }
        let (world, busy, store_busy) = (
            Arc::clone(world),
            Arc::clone(&busy),
            Arc::clone(&store_busy),
        );
        if shared {
            under_way.spawn(async move {
                let _alone = store_busy.lock().await;
                world.inject(vm, fault, time).await;
            });
        } else if !std::mem::replace(&mut busy.lock()[vm], true) {
            under_way.spawn(async move {
                world.inject(vm, fault, time).await;
                busy.lock()[vm] = false;
            });
        }
        tokio::time::sleep(pause).await;
    }
    while under_way.join_next().await.is_some() {}
}
