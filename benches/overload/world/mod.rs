//! The emulated estate: an event queue in time order, with policy objects at each
//! guard and entry.

mod caller;
mod entry;
mod guard;
mod results;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use bramleymount::model::{
    CentreName, ClassRank, Depth, GuardStatus, Instance, Level, Priority, Retries, RootId,
    ServiceName, Slots, StartStamp, Verdict,
};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event as Admitted, OnwardOutcome, Outcome, QueuedCall,
    Settings, Shed,
};
use bramleymount::policy::retry::{
    FailedAttempt, RepeatSafety, RetryAccount, RetryDecision, RetryGrant, RetryRatio, decide_retry,
};
use bramleymount::policy::route::{AttemptReport, CallNeeds, Pick, Table, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::scenario::{
    AFTER_SECONDS, DISTURBANCE_SECONDS, MAX_CALLER_RETRIES, MAX_RETRIES, START_SECONDS, Scenario,
};
use crate::variant::{Control, Disabled, Variant};

/// One-way delay between a client and an entry.
const CLIENT_DELAY_MS: f64 = 8.0;
/// One-way delay within a data centre.
const LOCAL_DELAY_MS: f64 = 0.1;
/// One-way delay between data centres.
const REMOTE_DELAY_MS: f64 = 0.5;
/// Time until a silent connection is detected.
const SILENCE_TIMEOUT_MS: f64 = 1000.0;
/// Time until connecting to a partitioned data centre fails.
const CONNECT_TIMEOUT_MS: f64 = 500.0;
/// Share of its slots that a cold server has at first.
const INITIAL_SLOT_SHARE: f64 = 0.1;
/// Time until a cold server has all its slots.
const WARMUP_SECONDS: f64 = 5.0;
/// Attempts per layer without policy.
const ATTEMPTS_PER_LAYER: u32 = 4;

type CallId = usize;
type ServerId = usize;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Enter(usize),
    Reach(CallId),
    WorkDone(CallId),
    Answer(CallId, bool),
    ConnectionLost(CallId),
    Timeout(CallId, u32),
    Deadline(usize),
    ExpireQueue(ServerId),
    Disturbance(bool),
}

/// One request of a caller, the root of a call tree.
struct RootRequest {
    id: RootId,
    class: usize,
    deadline: f64,
    entry: ServerId,
    /// Index of the original request that this one is or retries.
    original: usize,
    repeats: u32,
    account: Option<RetryAccount>,
    retries: u32,
    work_ms: f64,
    is_ended: bool,
    is_complete: bool,
}

/// One call of a tree, at its entry and then at its guard.
struct Call {
    root: usize,
    parent: Option<CallId>,
    service: usize,
    depth: u8,
    entry: ServerId,
    target: Option<ServerId>,
    attempts: u32,
    grant: Option<RetryGrant>,
    account: Option<RetryAccount>,
    next_dependency: usize,
    started: f64,
    running: bool,
    shed_reason: Option<Shed>,
    /// Abandoned by its entry while it still runs.
    is_abandoned: bool,
    is_closed: bool,
    guard_status: GuardStatus,
    onward_outcomes: Vec<OnwardOutcome>,
}

struct Server {
    service: usize,
    centre: usize,
    instance: Instance,
    admission: Option<Admission>,
    /// Calls that run at the backend server.
    running: usize,
    /// Calls that wait for the backend server, without policy.
    queue: VecDeque<CallId>,
    tables: HashMap<usize, Table>,
    silent_links: HashSet<ServerId>,
    restart_ms: Option<f64>,
    work_factor: f64,
    last_unprotected_start: f64,
    waiting: HashMap<CallId, (usize, f64)>,
    expiry_scheduled: bool,
}

pub(crate) struct World {
    scenario: Scenario,
    variant: Variant,
    start: Instant,
    now: f64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    roots: Vec<RootRequest>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    by_instance: HashMap<Instance, ServerId>,
    by_service: Vec<Vec<ServerId>>,
    names: Vec<ServiceName>,
    ratios: HashMap<(ServerId, usize), RetryRatio>,
    disturbed: bool,
    /// When complete answers reached their callers, in seconds.
    pub(crate) completions: Vec<f64>,
    /// When each request was first sent, and whether it got a complete answer.
    pub(crate) requests: Vec<(f64, bool)>,
    pub(crate) total_work_ms: f64,
    /// Protected calls that were shed before unprotected ones.
    pub(crate) shed_early: u64,
}

impl World {
    pub(crate) fn new(scenario: &Scenario, variant: Variant, seed: u64) -> Self {
        let mut world = Self {
            scenario: scenario.clone(),
            variant,
            start: Instant::now(),
            now: 0.0,
            sequence: 0,
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            roots: Vec::new(),
            calls: Vec::new(),
            servers: Vec::new(),
            by_instance: HashMap::new(),
            by_service: vec![Vec::new(); scenario.services.len()],
            names: (0..scenario.services.len()).map(name).collect(),
            ratios: HashMap::new(),
            disturbed: false,
            completions: Vec::new(),
            requests: Vec::new(),
            total_work_ms: 0.0,
            shed_early: 0,
        };
        world.build_servers();
        world.schedule_at(0.0, Event::Arrive);
        world.schedule_at(START_SECONDS * 1000.0, Event::Disturbance(true));
        world.schedule_at(
            (START_SECONDS + DISTURBANCE_SECONDS) * 1000.0,
            Event::Disturbance(false),
        );
        world
    }

    fn build_servers(&mut self) {
        for (service, spec) in self.scenario.services.clone().iter().enumerate() {
            for n in 0..spec.servers {
                let id = self.servers.len();
                let address = format!("10.{service}.0.{}:1", n + 1)
                    .parse()
                    .expect("valid address");
                let instance = Instance::new(address, StartStamp::new(1, n as u32));
                let settings = self.settings(spec.slots, false);
                let admission = (self.variant.control == Control::Policy)
                    .then(|| Admission::new(self.start, settings));
                self.servers.push(Server {
                    service,
                    centre: n % 2,
                    instance,
                    admission,
                    running: 0,
                    queue: VecDeque::new(),
                    tables: HashMap::new(),
                    silent_links: HashSet::new(),
                    restart_ms: None,
                    // One server of each service is slower, so that the
                    // choice between them matters.
                    work_factor: if self.scenario.disturbance.false_load && n == 0 {
                        3.0
                    } else {
                        1.0
                    },
                    last_unprotected_start: -1.0,
                    waiting: HashMap::new(),
                    expiry_scheduled: false,
                });
                self.by_instance.insert(instance, id);
                self.by_service[service].push(id);
            }
        }
        for id in 0..self.servers.len() {
            let mut services = self.scenario.services[self.servers[id].service]
                .dependencies
                .clone();
            services.push(0);
            for service in services {
                let table = self.build_table(id, service);
                self.servers[id].tables.insert(service, table);
            }
        }
    }

    fn settings(&self, slots: u32, cold: bool) -> Settings {
        let protected = self
            .scenario
            .classes
            .iter()
            .take_while(|c| c.protected)
            .count();
        Settings {
            slots: Slots::new(slots),
            cold,
            protected: protected.checked_sub(1).map(ClassRank::new),
        }
    }

    fn build_table(&self, entry: ServerId, service: usize) -> Table {
        let mut table = Table::new(centre(self.servers[entry].centre));
        let slots = Slots::new(self.scenario.services[service].slots);
        let targets = self.by_service[service].iter().map(|id| {
            let server = &self.servers[*id];
            Target::new(server.instance, centre(server.centre), slots)
        });
        table.update(targets.collect());
        table
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now / 1000.0)
    }

    fn instant_at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1000.0)
    }

    fn schedule_at(&mut self, ms: f64, event: Event) {
        self.sequence += 1;
        let time = (ms * 1000.0) as u64;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn schedule_after(&mut self, ms: f64, event: Event) {
        self.schedule_at(self.now + ms, event);
    }

    pub(crate) fn run(&mut self) {
        let end = ((START_SECONDS + DISTURBANCE_SECONDS + AFTER_SECONDS) * 1e6) as u64;
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time as f64 / 1000.0;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Enter(root) => self.enter(root),
            Event::Reach(call) => self.reach_target(call),
            Event::WorkDone(call) => self.finish_work(call),
            Event::Answer(call, is_complete) => self.receive_answer(call, is_complete),
            Event::ConnectionLost(call) => self.lose_connection(call),
            Event::Timeout(call, attempt) => self.time_out(call, attempt),
            Event::Deadline(root) => self.expire_root(root),
            Event::ExpireQueue(server) => self.expire_queue(server),
            Event::Disturbance(on) => self.set_disturbance(on),
        }
    }

    fn set_disturbance(&mut self, on: bool) {
        self.disturbed = on;
        let disturbance = self.scenario.disturbance.clone();
        if on && disturbance.cold_restarts {
            for id in (0..self.servers.len()).step_by(3) {
                self.restart(id);
            }
        }
        if disturbance.silent_links {
            for id in 0..self.servers.len() {
                let others: Vec<ServerId> = (0..self.servers.len()).filter(|o| *o != id).collect();
                for other in others {
                    if on && self.rng.random_bool(0.2) {
                        self.servers[id].silent_links.insert(other);
                    }
                }
            }
        }
    }

    fn restart(&mut self, id: ServerId) {
        let slots = self.scenario.services[self.servers[id].service].slots;
        self.servers[id].restart_ms = Some(self.now);
        let slow_start = self.variant.disabled != Disabled::SlowStart;
        if slow_start && let Some(admission) = &mut self.servers[id].admission {
            admission.restart(Slots::new(slots));
        }
    }
}

fn centre(number: usize) -> CentreName {
    format!("centre-{number}").parse().expect("valid name")
}

fn name(service: usize) -> ServiceName {
    format!("service-{service}").parse().expect("valid name")
}
