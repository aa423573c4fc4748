//! The emulated estate: events in order of time, policy objects at each guard
//! and entry.

mod caller;
mod entry;
mod figure;
mod guard;

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

use crate::scenario::{AFTER, LENGTH, REPEATS, RETRIES, START, Scenario};
use crate::variant::{Control, Off, Variant};

/// One way between a client and an entry, within and between data centres.
const CLIENT_MS: f64 = 8.0;
const NEAR_MS: f64 = 0.1;
const FAR_MS: f64 = 0.5;
/// After this long a connection that is silent is found out.
const SILENT_MS: f64 = 1000.0;
/// Time until a connection cannot be made to a side that is cut off.
const CONNECT_MS: f64 = 500.0;
/// Share of its slots that a cold server has at first, and how long it warms.
const COLD_SHARE: f64 = 0.1;
const COLD_S: f64 = 5.0;
/// Attempts a layer without control.
const LAYER_ATTEMPTS: u32 = 4;

type CallId = usize;
type ServerId = usize;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Enter(usize),
    At(CallId),
    Worked(CallId),
    Back(CallId, bool),
    Lost(CallId),
    Timeout(CallId, u32),
    Deadline(usize),
    Look(ServerId),
    Disturb(bool),
}

struct Root {
    id: RootId,
    class: usize,
    deadline: f64,
    entry: ServerId,
    /// The request of which this is a repeat, or this one itself.
    original: usize,
    repeats: u32,
    account: Option<RetryAccount>,
    retries: u32,
    work_ms: f64,
    ended: bool,
    whole: bool,
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
    loan: Option<RetryGrant>,
    account: Option<RetryAccount>,
    next: usize,
    started: f64,
    running: bool,
    failed: Option<Shed>,
    /// Given up by its entry, and still running.
    orphan: bool,
    closed: bool,
    news: GuardStatus,
    met: Vec<OnwardOutcome>,
}

struct Server {
    service: usize,
    centre: usize,
    instance: Instance,
    admission: Option<Admission>,
    /// Without control: calls at the backend server, and those that wait.
    running: usize,
    queue: VecDeque<CallId>,
    tables: HashMap<usize, Table>,
    silent: HashSet<ServerId>,
    cold_since: Option<f64>,
    factor: f64,
    last_lesser: f64,
    waiting: HashMap<CallId, (usize, f64)>,
    look: bool,
}

pub(crate) struct World {
    scenario: Scenario,
    variant: Variant,
    base: Instant,
    now: f64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    roots: Vec<Root>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    by_instance: HashMap<Instance, ServerId>,
    by_service: Vec<Vec<ServerId>>,
    names: Vec<ServiceName>,
    ratios: HashMap<(ServerId, usize), RetryRatio>,
    disturbed: bool,
    pub(crate) whole: Vec<f64>,
    /// When each request was first sent, and whether it was answered whole.
    pub(crate) asked: Vec<(f64, bool)>,
    pub(crate) worked_ms: f64,
    pub(crate) shed_early: u64,
}

impl World {
    pub(crate) fn new(scenario: &Scenario, variant: Variant, seed: u64) -> Self {
        let mut world = Self {
            scenario: scenario.clone(),
            variant,
            base: Instant::now(),
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
            whole: Vec::new(),
            asked: Vec::new(),
            worked_ms: 0.0,
            shed_early: 0,
        };
        world.build();
        world.at(0.0, Event::Arrive);
        world.at(START * 1000.0, Event::Disturb(true));
        world.at((START + LENGTH) * 1000.0, Event::Disturb(false));
        world
    }

    fn build(&mut self) {
        for (service, spec) in self.scenario.services.clone().iter().enumerate() {
            for n in 0..spec.servers {
                let id = self.servers.len();
                let address = format!("10.{service}.0.{}:1", n + 1)
                    .parse()
                    .expect("an address");
                let instance = Instance::new(address, StartStamp::new(1, n as u32));
                let settings = self.settings(spec.slots, false);
                let admission = (self.variant.control == Control::Now)
                    .then(|| Admission::new(self.base, settings));
                self.servers.push(Server {
                    service,
                    centre: n % 2,
                    instance,
                    admission,
                    running: 0,
                    queue: VecDeque::new(),
                    tables: HashMap::new(),
                    silent: HashSet::new(),
                    cold_since: None,
                    // One server of each service is slower, so that the
                    // choice between them matters.
                    factor: if self.scenario.disturb.mislead && n == 0 {
                        3.0
                    } else {
                        1.0
                    },
                    last_lesser: -1.0,
                    waiting: HashMap::new(),
                    look: false,
                });
                self.by_instance.insert(instance, id);
                self.by_service[service].push(id);
            }
        }
        for id in 0..self.servers.len() {
            let mut wanted = self.scenario.services[self.servers[id].service]
                .onward
                .clone();
            wanted.push(0);
            for service in wanted {
                let table = self.table(id, service);
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

    fn table(&self, entry: ServerId, service: usize) -> Table {
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
        self.base + Duration::from_secs_f64(self.now / 1000.0)
    }

    fn later(&self, ms: f64) -> Instant {
        self.base + Duration::from_secs_f64(ms / 1000.0)
    }

    fn at(&mut self, ms: f64, event: Event) {
        self.sequence += 1;
        let time = (ms * 1000.0) as u64;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn after(&mut self, ms: f64, event: Event) {
        self.at(self.now + ms, event);
    }

    pub(crate) fn run(&mut self) {
        let end = ((START + LENGTH + AFTER) * 1e6) as u64;
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
            Event::At(call) => self.reach(call),
            Event::Worked(call) => self.worked(call),
            Event::Back(call, whole) => self.back(call, whole),
            Event::Lost(call) => self.lost(call),
            Event::Timeout(call, attempt) => self.timeout(call, attempt),
            Event::Deadline(root) => self.deadline(root),
            Event::Look(server) => self.look(server),
            Event::Disturb(on) => self.disturb(on),
        }
    }

    fn disturb(&mut self, on: bool) {
        self.disturbed = on;
        let disturb = self.scenario.disturb.clone();
        if on && disturb.cold {
            for id in (0..self.servers.len()).step_by(3) {
                self.restart(id);
            }
        }
        if disturb.silent {
            for id in 0..self.servers.len() {
                let others: Vec<ServerId> = (0..self.servers.len()).filter(|o| *o != id).collect();
                for other in others {
                    if on && self.rng.random_bool(0.2) {
                        self.servers[id].silent.insert(other);
                    }
                }
            }
        }
    }

    fn restart(&mut self, id: ServerId) {
        let slots = self.scenario.services[self.servers[id].service].slots;
        self.servers[id].cold_since = Some(self.now);
        let slow_start = self.variant.off != Off::SlowStart;
        if slow_start && let Some(admission) = &mut self.servers[id].admission {
            admission.restart(Slots::new(slots));
        }
    }
}

fn centre(number: usize) -> CentreName {
    format!("centre-{number}").parse().expect("a name")
}

fn name(service: usize) -> ServiceName {
    format!("service-{service}").parse().expect("a name")
}
