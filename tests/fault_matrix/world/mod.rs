//! Three nodes, a table, callers and operators in emulated time.

mod caller;
mod entry;
mod guard;
mod membership;
mod promise;
mod stop;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bramleymount::call::{Attempt, Reason, Refusal, Scope, Sent};
use bramleymount::model::{
    AttemptId, Instance, MintTime, OnceKey, ServiceName, StartStamp, Verdict, Version,
};
use bramleymount::policy::admission::Shed;
use bramleymount::policy::member::{
    Incarnation, Member, MemberState, Rollout, VersionDecision, View,
};
use bramleymount::policy::once::{
    Claim, ClaimCheck, Destination, Horizon, KeyState, Ledger, LedgerLimits, Nonce, OnceDecision,
    OnceRefusal, OwnershipRow, StoredAnswer, Successor, check_claim, check_owner, claim_row_key,
    destination, hand_over, plan_ownership,
};
use bramleymount::store::{Condition, Revision, Settled, TableStore, settle};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use uuid::{NoContext, Timestamp, Uuid};

use super::fault::Fault;
use super::platform::{Mood, Table, now};

const NODES: usize = 3;
const CALLERS: usize = 6;
/// Attempts that a caller makes with one key.
const ATTEMPTS: u32 = 8;
/// Times in milliseconds.
const END: u64 = 45_000;
const HEALED: u64 = 30_000;
const DEADLINE: u64 = 400;
const OUTAGE: u64 = 6000;
const PAUSE: u64 = 9000;
const TICK: u64 = 1000;
/// Time that is left after the last fault.
const SETTLE: u64 = 25_000;
const HORIZON_MS: u64 = 5000;
/// Unix time at the start of a run.
const EPOCH: u64 = 1_800_000_000_000;
/// No new work may start this long after a node said that it leaves.
const LEAVE: u64 = 2000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keys {
    Dated,
    Ticket,
    Opaque,
    Mixed,
}

type Answered = Result<StoredAnswer, Refusal>;

#[derive(Clone, Debug)]
enum Event {
    Send(usize),
    Enter {
        caller: usize,
        node: usize,
        first: bool,
    },
    Call {
        from: Instance,
        to: Instance,
        attempt: AttemptId,
        key: OnceKey,
    },
    Claim {
        at: Instance,
        key: OnceKey,
        resumed: bool,
    },
    Start {
        at: Instance,
        key: OnceKey,
    },
    Finish {
        at: Instance,
        key: OnceKey,
    },
    Reply {
        to: Instance,
        attempt: AttemptId,
        result: Answered,
    },
    Timeout {
        at: Instance,
        attempt: AttemptId,
    },
    Tick(usize),
    Gossip {
        to: usize,
        members: Vec<Member>,
        row: Option<(Revision, Rc<OwnershipRow>)>,
        version: Version,
    },
    StopStep {
        at: Instance,
        step: u8,
    },
    Wake,
    Replace(usize),
    Heal,
    Apply {
        node: usize,
        change: u64,
        base: Version,
    },
}

/// An attempt that an entry waits for.
struct Out {
    attempt: Attempt<Sent>,
    caller: usize,
    first: bool,
}

struct Node {
    instance: Instance,
    view: View,
    row: Option<(Revision, Rc<OwnershipRow>)>,
    ledger: Ledger,
    attached: HashMap<OnceKey, Vec<(Instance, AttemptId)>>,
    out: HashMap<AttemptId, Out>,
    rollout: Rollout,
    up: bool,
    paused_until: u64,
    left_at: Option<u64>,
}

struct Caller {
    key: OnceKey,
    attempts: u32,
    /// Whether an attempt ended without a word, so that it may still be out.
    silent: bool,
    told: Option<Verdict>,
    answered: bool,
    done: bool,
}

pub(crate) struct World {
    rng: SmallRng,
    time: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    table: Table,
    callers: Vec<Caller>,
    runs: HashMap<OnceKey, u32>,
    running: HashSet<(Instance, OnceKey)>,
    cuts: HashSet<(usize, usize)>,
    platform_cuts: HashSet<usize>,
    lose: u32,
    late: u32,
    double: u32,
    shedding: bool,
    misroute: bool,
    faults: Vec<(usize, Fault)>,
    steps: usize,
    end: u64,
    accepted: Vec<(Version, u64)>,
    unsettled: Vec<(usize, u64, Version)>,
    violations: Vec<String>,
    base: Instant,
}

impl World {
    pub(crate) fn new(seed: u64, keys: Keys) -> Self {
        let base = Instant::now();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            time: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            table: Table::default(),
            callers: Vec::new(),
            runs: HashMap::new(),
            running: HashSet::new(),
            cuts: HashSet::new(),
            platform_cuts: HashSet::new(),
            lose: 0,
            late: 0,
            double: 0,
            shedding: false,
            misroute: false,
            faults: Vec::new(),
            steps: 0,
            end: END,
            accepted: Vec::new(),
            unsettled: Vec::new(),
            violations: Vec::new(),
            base,
        };
        for number in 0..NODES {
            let node = world.node(number, 1);
            world.nodes.push(node);
        }
        for number in 0..NODES {
            world.after(number as u64 * 7, Event::Tick(number));
        }
        for number in 0..CALLERS {
            let at = 3000 + number as u64 * 900 + world.rng.random_range(0..200);
            let key = world.key(keys, number, at);
            world.callers.push(Caller {
                key,
                attempts: 0,
                silent: false,
                told: None,
                answered: false,
                done: false,
            });
            world.after(at, Event::Send(number));
        }
        world.after(
            2500,
            Event::Apply {
                node: 0,
                change: 1,
                base: Version::NONE,
            },
        );
        world.after(HEALED, Event::Heal);
        world
    }

    fn node(&self, number: usize, start: u64) -> Node {
        let address = format!("10.0.0.{}:1", number + 1)
            .parse()
            .expect("an address");
        let instance = Instance::new(address, StartStamp::new(EPOCH + start, number as u32));
        let own = Member {
            instance,
            centre: format!("centre-{number}").parse().expect("a name"),
            service: service(),
            incarnation: Incarnation(1),
            state: MemberState::Serving,
            slots: None,
        };
        let limits = LedgerLimits {
            bytes: 1 << 20,
            retention: Duration::from_secs(3600),
        };
        Node {
            instance,
            view: View::new(self.instant(), own),
            row: None,
            ledger: Ledger::new(limits),
            attached: HashMap::new(),
            out: HashMap::new(),
            rollout: Rollout::default(),
            up: true,
            paused_until: 0,
            left_at: None,
        }
    }

    fn key(&mut self, keys: Keys, number: usize, at: u64) -> OnceKey {
        let kind = match keys {
            Keys::Mixed => [Keys::Dated, Keys::Ticket, Keys::Opaque][number % 3],
            other => other,
        };
        let unix = EPOCH + at;
        let time = Timestamp::from_unix(NoContext, unix / 1000, (unix % 1000) as u32 * 1_000_000);
        match kind {
            Keys::Ticket => OnceKey::Ticket {
                instance: self.nodes[number % NODES].instance,
                id: Uuid::new_v7(time),
            },
            Keys::Opaque => OnceKey::Opaque(format!("order-{number}").into()),
            Keys::Dated | Keys::Mixed => OnceKey::Dated(Uuid::new_v7(time)),
        }
    }

    pub(crate) fn inject(&mut self, faults: &[(usize, Fault)]) {
        self.faults = faults.to_vec();
    }

    pub(crate) fn steps(&self) -> usize {
        self.steps
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_millis(self.time)
    }

    fn mint(&self) -> MintTime {
        MintTime::from_millis(EPOCH + self.time)
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.time + ms, self.sequence), event);
    }

    pub(crate) fn run(&mut self) {
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if time > self.end {
                break;
            }
            self.time = time;
            let due: Vec<Fault> = self
                .faults
                .iter()
                .filter(|(step, _)| *step == self.steps)
                .map(|(_, fault)| *fault)
                .collect();
            self.steps += usize::from(!matches!(event, Event::Heal | Event::Gossip { .. }));
            for fault in due {
                self.fault(fault);
            }
            self.handle(event);
        }
        self.check_end();
    }

    fn fault(&mut self, fault: Fault) {
        self.end = self.end.max(self.time + SETTLE);
        match fault {
            Fault::Crash(n) => self.crash(n),
            Fault::Pause(n) => {
                let until = self.time + PAUSE;
                self.nodes[n].paused_until = until;
                self.after(PAUSE, Event::Wake);
            }
            Fault::Stop(n) => {
                let at = self.nodes[n].instance;
                self.after(0, Event::StopStep { at, step: 0 });
            }
            Fault::CutPeers(a, b) => {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
            }
            Fault::CutAll(n) => {
                for other in (0..NODES).filter(|o| *o != n) {
                    self.cuts.insert((n, other));
                    self.cuts.insert((other, n));
                }
            }
            Fault::CutPlatform(n) => {
                self.platform_cuts.insert(n);
            }
            Fault::PlatformDown => self.table.mood(Mood::Down),
            Fault::LoseAnswers => self.table.mood(Mood::LoseAnswers),
            Fault::LoseMessages => self.lose = 4,
            Fault::Late => self.late = 4,
            Fault::Double => self.double = 4,
            Fault::Overload => self.shedding = true,
            Fault::Misroute => self.misroute = true,
            Fault::TwoOperators => {
                let base = self.accepted.last().map_or(Version::NONE, |(v, _)| *v);
                self.after(
                    0,
                    Event::Apply {
                        node: 1,
                        change: 100 + self.time,
                        base,
                    },
                );
                self.after(
                    0,
                    Event::Apply {
                        node: 2,
                        change: 200 + self.time,
                        base,
                    },
                );
            }
        }
        if !matches!(fault, Fault::Crash(_) | Fault::Pause(_) | Fault::Stop(_)) {
            self.after(OUTAGE, Event::Heal);
        }
    }

    fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if !node.up {
            return;
        }
        node.up = false;
        let instance = node.instance;
        let out = std::mem::take(&mut node.out);
        self.running.retain(|(at, _)| *at != instance);
        for (_, gone) in out {
            // The caller sees its connection end without a word.
            self.callers[gone.caller].silent = true;
            self.again(gone.caller);
        }
        self.after(5000, Event::Replace(n));
    }

    fn number(&self, instance: Instance) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.up && n.instance == instance)
    }

    fn address(&self, instance: Instance) -> usize {
        self.nodes
            .iter()
            .position(|n| n.instance.address == instance.address)
            .expect("a known address")
    }

    /// Defers what happens at a node that stands still.
    fn owner_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Enter { node, .. } | Event::Tick(node) | Event::Apply { node, .. } => {
                Some(*node)
            }
            Event::Gossip { to, .. } => Some(*to),
            Event::Call { to, .. } | Event::Reply { to, .. } => self.number(*to),
            Event::Claim { at, .. }
            | Event::Start { at, .. }
            | Event::Timeout { at, .. }
            | Event::StopStep { at, .. } => self.number(*at),
            // The backend server goes on while its daemon stands still.
            Event::Finish { .. }
            | Event::Send(_)
            | Event::Wake
            | Event::Replace(_)
            | Event::Heal => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(n) = self.owner_of(&event) {
            let wait = self.nodes[n].paused_until.saturating_sub(self.time);
            if wait > 0 {
                return self.after(wait, event);
            }
        }
        match event {
            Event::Send(caller) => self.send(caller),
            Event::Enter {
                caller,
                node,
                first,
            } => self.enter(caller, node, first),
            Event::Call {
                from,
                to,
                attempt,
                key,
            } => self.call(from, to, attempt, &key),
            Event::Claim { at, key, resumed } => self.claim(at, &key, resumed),
            Event::Start { at, key } => self.start(at, &key),
            Event::Finish { at, key } => self.finish(at, &key),
            Event::Reply {
                to,
                attempt,
                result,
            } => self.reply(to, attempt, result),
            Event::Timeout { at, attempt } => self.timeout(at, attempt),
            Event::Tick(n) => self.tick(n),
            Event::Gossip {
                to,
                members,
                row,
                version,
            } => self.gossip(to, members, row, version),
            Event::StopStep { at, step } => self.stop_step(at, step),
            Event::Wake => {}
            Event::Replace(n) => {
                let stamp = self.time + 1;
                self.nodes[n] = self.node(n, stamp);
                self.after(10, Event::Tick(n));
            }
            Event::Heal => self.heal(),
            Event::Apply { node, change, base } => self.apply(node, change, base),
        }
    }

    fn heal(&mut self) {
        self.cuts.clear();
        self.platform_cuts.clear();
        self.table.mood(Mood::Well);
        self.shedding = false;
        self.misroute = false;
    }

    /// Sends a message between nodes through the faulty network.
    fn message(&mut self, from: usize, to: usize, event: Event) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if self.lose > 0 {
            self.lose -= 1;
            return;
        }
        let mut delay = 1 + self.rng.random_range(0..3);
        if self.late > 0 {
            self.late -= 1;
            delay += self.rng.random_range(0..2 * DEADLINE);
        }
        if self.double > 0 {
            self.double -= 1;
            let again = delay + self.rng.random_range(0..DEADLINE);
            self.after(again, event.clone());
        }
        self.after(delay, event);
    }
}

fn service() -> ServiceName {
    "sales".parse().expect("a name")
}

fn config(content: &[u8]) -> (Version, u64) {
    let text = std::str::from_utf8(content).expect("text");
    let (version, change) = text.split_once(' ').expect("two numbers");
    (
        version.parse().expect("a version"),
        change.parse().expect("a number"),
    )
}
