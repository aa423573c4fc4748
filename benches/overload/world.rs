//! The emulated estate: events in order of time, policy objects at each guard
//! and entry.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use bramleymount::model::{
    CentreName, ClassRank, Depth, GuardNews, Instance, Level, Priority, Retries, RootId,
    ServiceName, Slots, StartStamp, Verdict,
};
use bramleymount::policy::admission::{
    Admission, Decision, Event as Admitted, Met, Outcome, Settings, Shed, Token, Waiting,
};
use bramleymount::policy::retry::{Account, Failure, Loan, Ratio, Retry, Safety, decide};
use bramleymount::policy::route::{Pick, Report, Table, Target, Want};
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
    account: Option<Account>,
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
    loan: Option<Loan>,
    account: Option<Account>,
    next: usize,
    started: f64,
    running: bool,
    failed: Option<Shed>,
    /// Given up by its entry, and still running.
    orphan: bool,
    closed: bool,
    news: GuardNews,
    met: Vec<Met>,
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
    ratios: HashMap<(ServerId, usize), Ratio>,
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

    // Callers.

    fn arrive(&mut self) {
        let factor = if self.disturbed {
            self.scenario.disturb.demand
        } else {
            1.0
        };
        let gap =
            -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / (self.scenario.rate * factor);
        self.after(gap, Event::Arrive);
        let mut draw: f64 = self.rng.random();
        let mut class = 0;
        for (place, spec) in self.scenario.classes.iter().enumerate() {
            class = place;
            draw -= spec.share;
            if draw < 0.0 {
                break;
            }
        }
        let entry = self.by_service[0][self.rng.random_range(0..self.by_service[0].len())];
        let deadline = self.now + self.scenario.deadline_ms;
        let original = self.asked.len();
        self.asked.push((self.now / 1000.0, false));
        self.new_root(class, entry, deadline, original, 0);
    }

    fn new_root(
        &mut self,
        class: usize,
        entry: ServerId,
        deadline: f64,
        original: usize,
        repeats: u32,
    ) {
        let root = self.roots.len();
        self.roots.push(Root {
            id: RootId::new(self.rng.random()),
            class,
            deadline,
            entry,
            original,
            repeats,
            account: None,
            retries: 0,
            work_ms: 0.0,
            ended: false,
            whole: false,
        });
        self.after(CLIENT_MS, Event::Enter(root));
        self.at(deadline, Event::Deadline(root));
    }

    fn enter(&mut self, root: usize) {
        self.roots[root].account = Some(Account::open(Retries::new(RETRIES)));
        let entry = self.roots[root].entry;
        let call = self.new_call(root, None, 0, 0, entry);
        self.attempt(call, None);
    }

    /// Ends a request; a caller that was refused repeats it at once.
    fn end_root(&mut self, root: usize, whole: bool) {
        if self.roots[root].ended {
            return;
        }
        self.roots[root].ended = true;
        self.roots[root].whole = whole;
        let (class, deadline, original, repeats) = {
            let r = &self.roots[root];
            (r.class, r.deadline, r.original, r.repeats)
        };
        let arrives = self.now + CLIENT_MS;
        if whole && arrives <= deadline {
            self.whole.push(arrives / 1000.0);
            self.asked[original].1 = true;
        } else if repeats < REPEATS && arrives + 2.0 * CLIENT_MS < deadline {
            let entries = &self.by_service[0];
            let entry = entries[self.rng.random_range(0..entries.len())];
            self.now += CLIENT_MS;
            self.new_root(class, entry, deadline, original, repeats + 1);
            self.now -= CLIENT_MS;
        }
    }

    fn deadline(&mut self, root: usize) {
        self.roots[root].ended = true;
    }

    // Entries.

    fn new_call(
        &mut self,
        root: usize,
        parent: Option<CallId>,
        service: usize,
        depth: u8,
        entry: ServerId,
    ) -> CallId {
        self.calls.push(Call {
            root,
            parent,
            service,
            depth,
            entry,
            target: None,
            attempts: 0,
            loan: None,
            account: None,
            next: 0,
            started: 0.0,
            running: false,
            failed: None,
            orphan: false,
            closed: false,
            news: GuardNews::default(),
            met: Vec::new(),
        });
        self.calls.len() - 1
    }

    fn priority(&self, call: CallId) -> Priority {
        let c = &self.calls[call];
        let root = &self.roots[c.root];
        Priority::new(ClassRank::new(root.class), Depth::new(c.depth), root.id)
    }

    fn is_protected(&self, call: CallId) -> bool {
        self.scenario.classes[self.roots[self.calls[call].root].class].protected
    }

    fn with_account<T>(
        &mut self,
        call: CallId,
        use_it: impl FnOnce(&mut Account) -> T,
    ) -> Option<T> {
        let c = &self.calls[call];
        let account = match c.parent {
            Some(parent) => self.calls[parent].account.as_mut(),
            None => self.roots[c.root].account.as_mut(),
        };
        account.map(use_it)
    }

    fn attempt(&mut self, call: CallId, avoid: Option<ServerId>) {
        let entry = self.calls[call].entry;
        let service = self.calls[call].service;
        let target = match self.variant.control {
            Control::Now => match self.choose(call, avoid) {
                Ok(target) => target,
                Err(level) => {
                    self.calls[call].failed = level.map(|_| Shed::Overload);
                    return self.give_up(call);
                }
            },
            // Without control, the server that reports the least load.
            Control::None | Control::Fixed => {
                let sign = if self.scenario.disturb.mislead && self.disturbed {
                    -1.0
                } else {
                    1.0
                };
                let servers = self.by_service[service].clone();
                let a = servers[self.rng.random_range(0..servers.len())];
                let b = servers[self.rng.random_range(0..servers.len())];
                let load = |s: &Server| (s.running + s.queue.len()) as f64 * sign;
                if load(&self.servers[b]) < load(&self.servers[a]) {
                    b
                } else {
                    a
                }
            }
        };
        let c = &mut self.calls[call];
        c.attempts += 1;
        c.target = Some(target);
        c.next = 0;
        c.failed = None;
        c.met.clear();
        c.account = None;
        if self.variant.control != Control::Now {
            let attempt = c.attempts;
            self.after(
                self.scenario.deadline_ms / f64::from(LAYER_ATTEMPTS),
                Event::Timeout(call, attempt),
            );
        }
        if self.variant.control == Control::Now {
            let loan = self.with_account(call, Account::lend);
            self.calls[call].loan = loan;
        }
        let silent = self.servers[entry].silent.contains(&target);
        if silent {
            self.after(SILENT_MS, Event::Lost(call));
        } else if self.is_cut(entry, target) {
            self.after(CONNECT_MS, Event::Lost(call));
        } else {
            self.after(self.way(entry, target), Event::At(call));
        }
    }

    fn is_cut(&self, a: ServerId, b: ServerId) -> bool {
        self.disturbed
            && self.scenario.disturb.cut
            && self.servers[a].centre != self.servers[b].centre
    }

    fn way(&self, a: ServerId, b: ServerId) -> f64 {
        if a == b {
            0.0
        } else if self.servers[a].centre == self.servers[b].centre {
            NEAR_MS
        } else {
            FAR_MS
        }
    }

    fn want(&self, call: CallId, avoid: Option<ServerId>) -> Want {
        Want {
            level: self.priority(call).level(),
            protected: self.is_protected(call),
            avoid: avoid.map(|id| self.servers[id].instance),
        }
    }

    fn choose(&mut self, call: CallId, avoid: Option<ServerId>) -> Result<ServerId, Option<Level>> {
        let now = self.instant();
        let mut want = self.want(call, avoid);
        if self.variant.off == Off::Early {
            want.level = Level::from_raw(u32::MAX);
        }
        let c = &self.calls[call];
        let table = self.servers[c.entry]
            .tables
            .get_mut(&c.service)
            .expect("a table");
        match table.choose(now, want, &mut self.rng) {
            Pick::Target(instance) => Ok(self.by_instance[&instance]),
            Pick::Refused(level) => Err(Some(level)),
            Pick::Nothing => Err(None),
        }
    }

    fn report(&mut self, call: CallId, report: Report) {
        let now = self.instant();
        if self.variant.off == Off::Eject && report == Report::Failed {
            return self.report(call, Report::Abandoned);
        }
        let c = &self.calls[call];
        let Some(target) = c.target else { return };
        let instance = self.servers[target].instance;
        if let Some(table) = self.servers[c.entry].tables.get_mut(&c.service) {
            table.report(now, instance, report);
        }
    }

    /// The connection went silent or could not be made; the next one is new.
    fn lost(&mut self, call: CallId) {
        let (entry, target) = (self.calls[call].entry, self.calls[call].target);
        if let Some(target) = target {
            self.servers[entry].silent.remove(&target);
        }
        if self.variant.control == Control::Now {
            self.report(call, Report::Failed);
            if let Some(loan) = self.calls[call].loan.take() {
                self.with_account(call, |account| account.write_off(loan.id));
            }
        }
        self.again(call, Verdict::MayHaveRun, false);
    }

    /// Without control, a layer waits for a share of the deadline and tries
    /// again, while what it gave up goes on.
    fn timeout(&mut self, call: CallId, attempt: u32) {
        let c = &self.calls[call];
        if c.closed || c.orphan || c.attempts != attempt {
            return;
        }
        let (root, parent, service, depth, entry) = (c.root, c.parent, c.service, c.depth, c.entry);
        self.calls[call].orphan = true;
        let again = self.new_call(root, parent, service, depth, entry);
        self.calls[again].attempts = attempt;
        self.calls[again].target = self.calls[call].target;
        self.again(again, Verdict::MayHaveRun, false);
    }

    /// An answer or refusal reaches the entry.
    fn back(&mut self, call: CallId, whole: bool) {
        if self.calls[call].orphan || self.calls[call].closed {
            return;
        }
        if self.calls[call]
            .target
            .is_some_and(|t| self.is_cut(self.calls[call].entry, t))
        {
            return self.lost(call);
        }
        if self.variant.control == Control::Now {
            let news = self.calls[call].news;
            self.report(call, Report::Heard(news));
            let rest = match &mut self.calls[call].account {
                Some(account) => account.close(),
                None => self.calls[call]
                    .loan
                    .map_or(Retries::new(0), |loan| loan.retries),
            };
            if let Some(loan) = self.calls[call].loan.take() {
                self.with_account(call, |account| account.settle(loan.id, rest));
            }
        }
        if whole {
            let key = (self.calls[call].entry, self.calls[call].service);
            self.ratios.entry(key).or_default().answered();
            return self.done(call);
        }
        let overload = self.calls[call].failed.is_some();
        let verdict = if overload {
            Verdict::NotRun
        } else {
            Verdict::Ran
        };
        self.again(call, verdict, overload);
    }

    fn again(&mut self, call: CallId, verdict: Verdict, overload: bool) {
        let root = self.calls[call].root;
        let left = self.roots[root].deadline - self.now;
        if left <= 0.0 || (self.variant.control == Control::Now && self.roots[root].ended) {
            return self.give_up(call);
        }
        let target = self.calls[call].target;
        if self.variant.control != Control::Now {
            if self.calls[call].attempts < LAYER_ATTEMPTS {
                self.roots[root].retries += 1;
                return self.attempt(call, target);
            }
            return self.give_up(call);
        }
        let failure = Failure {
            verdict,
            overload,
            left: Duration::from_secs_f64(left / 1000.0),
        };
        let key = (self.calls[call].entry, self.calls[call].service);
        let mut ratio = self.ratios.get(&key).copied().unwrap_or_default();
        if self.variant.off == Off::Ratio {
            ratio = Ratio::default();
        }
        let decided = self.with_account(call, |account| {
            decide(failure, Safety::Idempotent, account, || ratio.take())
        });
        self.ratios.insert(key, ratio);
        if decided == Some(Retry::Again) {
            self.roots[root].retries += 1;
            self.attempt(call, target);
        } else {
            self.give_up(call);
        }
    }

    fn give_up(&mut self, call: CallId) {
        self.calls[call].closed = true;
        let shed = self.calls[call].failed;
        self.meet(call, shed.is_some_and(Shed::is_overload));
        match self.calls[call].parent {
            Some(parent) => self.finish(parent, false),
            None => self.end_root(self.calls[call].root, false),
        }
    }

    /// Tells the call above what this onward call met.
    fn meet(&mut self, call: CallId, refused: bool) {
        let Some(parent) = self.calls[call].parent else {
            return;
        };
        if self.variant.control != Control::Now || self.variant.off == Off::Chain {
            return;
        }
        let now = self.instant();
        let c = &self.calls[call];
        let demand = self.servers[c.entry].tables[&c.service].demand(now);
        let service = self.names[self.calls[call].service].clone();
        self.calls[parent].met.push(Met {
            service,
            demand,
            refused,
            failed: refused,
        });
    }

    fn done(&mut self, call: CallId) {
        self.calls[call].closed = true;
        self.meet(call, false);
        match self.calls[call].parent {
            Some(parent) => self.onward(parent),
            None => self.end_root(self.calls[call].root, true),
        }
    }

    // Guards and backend servers.

    fn reach(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        if let Some(loan) = self.calls[call].loan {
            self.calls[call].account = Some(Account::open(loan.retries));
        }
        match self.variant.control {
            Control::Now => self.admit(id, call),
            Control::None => self.fifo(id, call, usize::MAX),
            Control::Fixed => {
                let slots = self.scenario.services[self.servers[id].service].slots;
                self.fifo(id, call, slots as usize);
            }
        }
    }

    fn fifo(&mut self, id: ServerId, call: CallId, bound: usize) {
        if self.servers[id].running < self.slots(id) {
            self.start(id, call);
        } else if self.servers[id].queue.len() < bound {
            self.servers[id].queue.push_back(call);
        } else {
            self.calls[call].failed = Some(Shed::Overload);
            self.send_back(id, call, false);
        }
    }

    fn admit(&mut self, id: ServerId, call: CallId) {
        let now = self.instant();
        let deadline = self.later(self.roots[self.calls[call].root].deadline);
        let waiting = Waiting {
            token: Token(call as u64),
            priority: self.priority(call),
            deadline,
            expires: deadline,
        };
        let class = self.roots[self.calls[call].root].class;
        self.servers[id].waiting.insert(call, (class, self.now));
        let Some(admission) = &mut self.servers[id].admission else {
            return;
        };
        let (decision, events) = admission.arrive(now, waiting);
        match decision {
            Decision::Start => self.admitted(id, Admitted::Start(Token(call as u64))),
            Decision::Shed(shed) => self.admitted(id, Admitted::Shed(Token(call as u64), shed)),
            Decision::Wait(_) => {}
        }
        self.deliver(id, events);
        if !self.servers[id].look && !self.servers[id].waiting.is_empty() {
            self.servers[id].look = true;
            self.after(10.0, Event::Look(id));
        }
    }

    fn look(&mut self, id: ServerId) {
        let now = self.instant();
        let events = match &mut self.servers[id].admission {
            Some(admission) => admission.expire(now),
            None => Vec::new(),
        };
        self.deliver(id, events);
        self.servers[id].look = !self.servers[id].waiting.is_empty();
        if self.servers[id].look {
            self.after(10.0, Event::Look(id));
        }
    }

    fn deliver(&mut self, id: ServerId, events: Vec<Admitted>) {
        for event in events {
            self.admitted(id, event);
        }
    }

    fn admitted(&mut self, id: ServerId, event: Admitted) {
        match event {
            Admitted::Start(Token(call)) => {
                let call = call as CallId;
                self.servers[id].waiting.remove(&call);
                if !self.is_protected(call) {
                    self.servers[id].last_lesser = self.now;
                }
                self.start(id, call);
            }
            Admitted::Shed(Token(call), shed) => {
                let call = call as CallId;
                let since = self.servers[id].waiting.remove(&call);
                if shed == Shed::Overload && self.is_protected(call) {
                    self.note_early(id, since.map_or(self.now, |(_, since)| since));
                }
                self.calls[call].failed = Some(shed);
                self.send_back(id, call, false);
            }
        }
    }

    /// Counts an important call that was shed though something less important
    /// waits here or was started while it waited.
    fn note_early(&mut self, id: ServerId, since: f64) {
        let server = &self.servers[id];
        let classes = &self.scenario.classes;
        let lesser_waits = server
            .waiting
            .values()
            .any(|(class, _)| !classes[*class].protected);
        if lesser_waits || server.last_lesser > since {
            self.shed_early += 1;
        }
    }

    /// Slots that the backend server really has now.
    fn slots(&self, id: ServerId) -> usize {
        let slots = f64::from(self.scenario.services[self.servers[id].service].slots);
        let share = self.servers[id].cold_since.map_or(1.0, |since| {
            let age = (self.now - since) / 1000.0 / COLD_S;
            (COLD_SHARE + (1.0 - COLD_SHARE) * age).min(1.0)
        });
        (slots * share).max(1.0) as usize
    }

    fn start(&mut self, id: ServerId, call: CallId) {
        if self.variant.control == Control::Now && self.servers[id].running >= self.slots(id) {
            // The backend server itself sheds.
            return self.ended(id, call, Outcome::Refused, false);
        }
        self.servers[id].running += 1;
        self.calls[call].running = true;
        self.calls[call].started = self.now;
        let service = self.servers[id].service;
        let spec = &self.scenario.services[service];
        let slow = self.disturbed && service == self.scenario.bottleneck();
        let factor = if slow {
            self.scenario.disturb.slow
        } else {
            1.0
        } * self.servers[id].factor;
        let spread = 0.5 + self.rng.random::<f64>();
        let work = spec.work_ms * factor * spread;
        self.worked_ms += work;
        self.roots[self.calls[call].root].work_ms += work;
        self.after(work, Event::Worked(call));
    }

    fn worked(&mut self, call: CallId) {
        self.onward(call);
    }

    /// Makes the next onward call, or ends the call if there is none.
    fn onward(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        let service = self.servers[id].service;
        let next = self.calls[call].next;
        let root = self.calls[call].root;
        let gone = self.variant.control == Control::Now && self.roots[root].ended;
        match self.scenario.services[service].onward.get(next) {
            Some(onward) if !gone => {
                let onward = *onward;
                self.calls[call].next += 1;
                let depth = self.calls[call].depth + 1;
                let child = self.new_call(root, Some(call), onward, depth, id);
                self.attempt(child, None);
            }
            _ => self.finish(call, !gone),
        }
    }

    /// The backend server ends a call.
    fn finish(&mut self, call: CallId, whole: bool) {
        if !self.calls[call].running {
            return;
        }
        let Some(id) = self.calls[call].target else {
            return;
        };
        self.servers[id].running -= 1;
        self.calls[call].running = false;
        let outcome = if whole {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        self.ended(id, call, outcome, whole);
    }

    fn ended(&mut self, id: ServerId, call: CallId, outcome: Outcome, whole: bool) {
        let now = self.instant();
        let met = std::mem::take(&mut self.calls[call].met);
        let mut events = Vec::new();
        if let Some(admission) = &mut self.servers[id].admission {
            admission.met_below(now, Token(call as u64), &met, whole);
            events = admission.finish(now, Token(call as u64), outcome);
        }
        if outcome == Outcome::Refused {
            self.calls[call].failed = Some(Shed::Overload);
        }
        self.send_back(id, call, whole);
        self.deliver(id, events);
        while self.variant.control != Control::Now
            && self.servers[id].running < self.slots(id)
            && let Some(next) = self.servers[id].queue.pop_front()
        {
            self.start(id, next);
        }
    }

    fn send_back(&mut self, id: ServerId, call: CallId, whole: bool) {
        let now = self.instant();
        if let Some(admission) = &self.servers[id].admission {
            self.calls[call].news = admission.news(now);
        }
        let way = self.way(self.calls[call].entry, id);
        self.after(way, Event::Back(call, whole));
    }

    // Figures.

    pub(crate) fn wasted_ms(&self) -> f64 {
        self.roots
            .iter()
            .filter(|r| !r.whole)
            .map(|r| r.work_ms)
            .sum()
    }

    pub(crate) fn retries_max(&self) -> u32 {
        self.roots.iter().map(|r| r.retries).max().unwrap_or(0)
    }

    /// Calls a second that the bottleneck can run during the disturbance.
    pub(crate) fn bottleneck_capacity(&self) -> f64 {
        let service = self.scenario.bottleneck();
        let spec = &self.scenario.services[service];
        let disturb = &self.scenario.disturb;
        self.by_service[service]
            .iter()
            .map(|id| {
                let server = &self.servers[*id];
                let warm = match server.cold_since {
                    // Mean share of slots over the disturbance.
                    Some(_) => {
                        let warming = (COLD_SHARE + 1.0) / 2.0 * COLD_S / LENGTH;
                        warming + (LENGTH - COLD_S) / LENGTH
                    }
                    None => 1.0,
                };
                let work_ms = spec.work_ms * disturb.slow * server.factor;
                f64::from(spec.slots) * warm * 1000.0 / work_ms
            })
            .sum()
    }
}

fn centre(number: usize) -> CentreName {
    format!("centre-{number}").parse().expect("a name")
}

fn name(service: usize) -> ServiceName {
    format!("service-{service}").parse().expect("a name")
}
