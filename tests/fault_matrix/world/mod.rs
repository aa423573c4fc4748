//! A simulation of three nodes, the store, callers and operators.

mod caller;
mod entry;
mod guard;
mod membership;
mod promise;
mod stop;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bramleymount::call::{Attempt, Reason, Refusal, Sent, VerdictScope};
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
use bramleymount::store::{Condition, Revision, TableStore, WriteOutcome, write_with_retry};
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use uuid::{NoContext, Timestamp, Uuid};

use super::fault::Fault;
use super::platform::{Table, TableMode, now};

const NODES: usize = 3;
const CALLERS: usize = 6;
/// Maximum attempts of a caller with one key.
const ATTEMPTS: u32 = 8;
/// When a run ends, unless a late fault extends it.
const END_MS: u64 = 45_000;
const HEAL_MS: u64 = 30_000;
const DEADLINE_MS: u64 = 400;
const OUTAGE_MS: u64 = 6000;
const PAUSE_MS: u64 = 9000;
const TICK_MS: u64 = 1000;
/// Minimum time from the last fault to the end of a run.
const SETTLE_MS: u64 = 25_000;
const HORIZON_MS: u64 = 5000;
/// Unix time at the start of a run.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// How long after a node began to leave it may still start calls.
const LEAVE_MS: u64 = 2000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keys {
    Dated,
    Ticket,
    Opaque,
    Mixed,
}

type CallResult = Result<StoredAnswer, Refusal>;

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
        result: CallResult,
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

/// An attempt that an entry awaits the answer of.
struct PendingAttempt {
    attempt: Attempt<Sent>,
    caller: usize,
    first: bool,
}

struct Node {
    instance: Instance,
    view: View,
    row: Option<(Revision, Rc<OwnershipRow>)>,
    ledger: Ledger,
    waiters: HashMap<OnceKey, Vec<(Instance, AttemptId)>>,
    pending: HashMap<AttemptId, PendingAttempt>,
    rollout: Rollout,
    up: bool,
    paused_until: u64,
    leaving_since: Option<u64>,
}

struct Caller {
    key: OnceKey,
    attempts: u32,
    /// Whether an attempt ended without an answer, so that it may still run.
    unanswered: bool,
    last_verdict: Option<Verdict>,
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
    lose_count: u32,
    delay_count: u32,
    duplicate_count: u32,
    shedding: bool,
    misroute: bool,
    faults: Vec<(usize, Fault)>,
    steps: usize,
    end: u64,
    accepted: Vec<(Version, u64)>,
    unsettled: Vec<(usize, u64, Version)>,
    violations: Vec<String>,
    start: Instant,
}

impl World {
    pub(crate) fn new(seed: u64, keys: Keys) -> Self {
        let start = Instant::now();
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
            lose_count: 0,
            delay_count: 0,
            duplicate_count: 0,
            shedding: false,
            misroute: false,
            faults: Vec::new(),
            steps: 0,
            end: END_MS,
            accepted: Vec::new(),
            unsettled: Vec::new(),
            violations: Vec::new(),
            start,
        };
        for number in 0..NODES {
            let node = world.node(number, 1);
            world.nodes.push(node);
        }
        for number in 0..NODES {
            world.schedule(number as u64 * 7, Event::Tick(number));
        }
        for number in 0..CALLERS {
            let at = 3000 + number as u64 * 900 + world.rng.random_range(0..200);
            let key = world.key(keys, number, at);
            world.callers.push(Caller {
                key,
                attempts: 0,
                unanswered: false,
                last_verdict: None,
                answered: false,
                done: false,
            });
            world.schedule(at, Event::Send(number));
        }
        world.schedule(
            2500,
            Event::Apply {
                node: 0,
                change: 1,
                base: Version::NONE,
            },
        );
        world.schedule(HEAL_MS, Event::Heal);
        world
    }

    fn node(&self, number: usize, start: u64) -> Node {
        let address = format!("10.0.0.{}:1", number + 1)
            .parse()
            .expect("an address");
        let instance = Instance::new(address, StartStamp::new(EPOCH_MS + start, number as u32));
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
            waiters: HashMap::new(),
            pending: HashMap::new(),
            rollout: Rollout::default(),
            up: true,
            paused_until: 0,
            leaving_since: None,
        }
    }

    fn key(&mut self, keys: Keys, number: usize, at: u64) -> OnceKey {
        let kind = match keys {
            Keys::Mixed => [Keys::Dated, Keys::Ticket, Keys::Opaque][number % 3],
            other => other,
        };
        let unix = EPOCH_MS + at;
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
        self.start + Duration::from_millis(self.time)
    }

    fn mint(&self) -> MintTime {
        MintTime::from_millis(EPOCH_MS + self.time)
    }

    fn schedule(&mut self, ms: u64, event: Event) {
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
        self.end = self.end.max(self.time + SETTLE_MS);
        match fault {
            Fault::Crash(n) => self.crash(n),
            Fault::Pause(n) => {
                let until = self.time + PAUSE_MS;
                self.nodes[n].paused_until = until;
                self.schedule(PAUSE_MS, Event::Wake);
            }
            Fault::Stop(n) => {
                let at = self.nodes[n].instance;
                self.schedule(0, Event::StopStep { at, step: 0 });
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
            Fault::PlatformDown => self.table.set_mode(TableMode::Down),
            Fault::LoseAnswers => self.table.set_mode(TableMode::LoseAnswers),
            Fault::LoseMessages => self.lose_count = 4,
            Fault::DelayMessages => self.delay_count = 4,
            Fault::DuplicateMessages => self.duplicate_count = 4,
            Fault::Overload => self.shedding = true,
            Fault::Misroute => self.misroute = true,
            Fault::TwoOperators => {
                let base = self.accepted.last().map_or(Version::NONE, |(v, _)| *v);
                self.schedule(
                    0,
                    Event::Apply {
                        node: 1,
                        change: 100 + self.time,
                        base,
                    },
                );
                self.schedule(
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
            self.schedule(OUTAGE_MS, Event::Heal);
        }
    }

    fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if !node.up {
            return;
        }
        node.up = false;
        let instance = node.instance;
        let out = std::mem::take(&mut node.pending);
        self.running.retain(|(at, _)| *at != instance);
        for (_, pending) in out {
            // The caller's connection is closed without an answer.
            self.callers[pending.caller].unanswered = true;
            self.schedule_retry(pending.caller);
        }
        self.schedule(5000, Event::Replace(n));
    }

    fn live_node(&self, instance: Instance) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.up && n.instance == instance)
    }

    fn node_at(&self, instance: Instance) -> usize {
        self.nodes
            .iter()
            .position(|n| n.instance.address == instance.address)
            .expect("a known address")
    }

    /// Returns the node that handles an event; a pause of it defers the event.
    fn affected_node(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Enter { node, .. } | Event::Tick(node) | Event::Apply { node, .. } => {
                Some(*node)
            }
            Event::Gossip { to, .. } => Some(*to),
            Event::Call { to, .. } | Event::Reply { to, .. } => self.live_node(*to),
            Event::Claim { at, .. }
            | Event::Start { at, .. }
            | Event::Timeout { at, .. }
            | Event::StopStep { at, .. } => self.live_node(*at),
            // The backend server continues while its daemon is paused.
            Event::Finish { .. }
            | Event::Send(_)
            | Event::Wake
            | Event::Replace(_)
            | Event::Heal => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(n) = self.affected_node(&event) {
            let wait = self.nodes[n].paused_until.saturating_sub(self.time);
            if wait > 0 {
                return self.schedule(wait, event);
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
                self.schedule(10, Event::Tick(n));
            }
            Event::Heal => self.heal(),
            Event::Apply { node, change, base } => self.apply(node, change, base),
        }
    }

    fn heal(&mut self) {
        self.cuts.clear();
        self.platform_cuts.clear();
        self.table.set_mode(TableMode::Healthy);
        self.shedding = false;
        self.misroute = false;
    }

    /// Sends a message between nodes through the faulty network.
    fn message(&mut self, from: usize, to: usize, event: Event) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if self.lose_count > 0 {
            self.lose_count -= 1;
            return;
        }
        let mut delay = 1 + self.rng.random_range(0..3);
        if self.delay_count > 0 {
            self.delay_count -= 1;
            delay += self.rng.random_range(0..2 * DEADLINE_MS);
        }
        if self.duplicate_count > 0 {
            self.duplicate_count -= 1;
            let again = delay + self.rng.random_range(0..DEADLINE_MS);
            self.schedule(again, event.clone());
        }
        self.schedule(delay, event);
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
