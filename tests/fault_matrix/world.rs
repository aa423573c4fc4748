//! Three nodes, a table, callers and operators in emulated time.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bramleymount::call::{Attempt, Reason, Refusal, Scope, Sent};
use bramleymount::model::{
    AttemptId, Instance, MintTime, OnceKey, ServiceName, StartStamp, Verdict, Version,
};
use bramleymount::policy::admission::Shed;
use bramleymount::policy::member::{Beat, Member, MemberState, Offer, Rollout, View};
use bramleymount::policy::once::{
    Begin, Claim, ClaimCheck, HomeRow, Horizon, Kept, Ledger, LedgerLimits, Nonce, Place, Refuse,
    State, Successor, authority, claim_key, hand_over, judge_claim, place, plan,
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

type Answered = Result<Kept, Refusal>;

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
        row: Option<(Revision, Rc<HomeRow>)>,
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
    row: Option<(Revision, Rc<HomeRow>)>,
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
            beat: Beat(1),
            state: MemberState::Serving,
            version: Version::NONE,
            slots: None,
        };
        let limits = LedgerLimits {
            bytes: 1 << 20,
            memory: Duration::from_secs(3600),
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

    // Callers.

    fn send(&mut self, caller: usize) {
        let c = &mut self.callers[caller];
        if c.done {
            return;
        }
        c.attempts += 1;
        let first = c.attempts == 1 && caller.is_multiple_of(2);
        let node = self.rng.random_range(0..NODES);
        if self.nodes[node].up {
            self.after(
                8,
                Event::Enter {
                    caller,
                    node,
                    first,
                },
            );
        } else {
            self.again(caller);
        }
    }

    fn again(&mut self, caller: usize) {
        if self.callers[caller].attempts < ATTEMPTS {
            let wait = self.rng.random_range(200..8000);
            self.after(wait, Event::Send(caller));
        }
    }

    fn tell(&mut self, caller: usize, result: &Answered) {
        let key = self.callers[caller].key.clone();
        match result {
            Ok(kept) => {
                if kept.body.as_deref() != Some(key.to_string().as_bytes()) {
                    self.violations
                        .push(format!("caller {caller} got another's answer"));
                }
                self.callers[caller].answered = true;
                self.callers[caller].done = true;
            }
            Err(refusal) => {
                let verdict = refusal.verdict();
                self.callers[caller].told = Some(verdict);
                let ran = self.runs.get(&key).copied().unwrap_or(0) > 0;
                if verdict == Verdict::NotRun && ran {
                    self.violations.push(format!(
                        "not-run was said of {key}, which ran: {:?}",
                        refusal.reason()
                    ));
                }
                if verdict == Verdict::NotRun && self.rng.random_bool(0.2) {
                    // This caller takes the word and never asks again.
                    self.callers[caller].done = true;
                }
                self.again(caller);
            }
        }
    }

    // Entries.

    fn enter(&mut self, caller: usize, n: usize, first: bool) {
        if !self.nodes[n].up {
            self.callers[caller].silent = true;
            return self.again(caller);
        }
        let key = self.callers[caller].key.clone();
        let target = match self.place(n, &key) {
            Ok(_) if self.misroute => self.nodes[self.rng.random_range(0..NODES)].instance,
            Ok(target) => target,
            Err(refusal) => return self.refuse(caller, first, refusal),
        };
        let attempt = Attempt::with_id(AttemptId::new(self.rng.random()));
        let id = attempt.id();
        let from = self.nodes[n].instance;
        self.nodes[n].out.insert(
            id,
            Out {
                attempt: attempt.send(),
                caller,
                first,
            },
        );
        let to = self.address(target);
        let event = Event::Call {
            from,
            to: target,
            attempt: id,
            key,
        };
        if to == n {
            self.after(0, event);
        } else {
            self.message(n, to, event);
        }
        self.after(
            DEADLINE,
            Event::Timeout {
                at: from,
                attempt: id,
            },
        );
    }

    /// Finds where a key must go; reads the row anew if nobody owns the key.
    fn place(&mut self, n: usize, key: &OnceKey) -> Result<Instance, Refusal> {
        let find = |node: &Node| {
            place(
                key,
                node.row.as_ref().map(|(_, row)| &**row),
                &node.view,
                &service(),
            )
        };
        let mut found = find(&self.nodes[n]);
        let mut fresh = false;
        if found == Place::Refused(Refuse::NotOwned)
            && !self.platform_cuts.contains(&n)
            && let Ok(row) = now(self.table.read("home"))
        {
            fresh = true;
            if let Some(row) = row {
                self.take_row(n, row.revision, &row.content);
            }
            found = find(&self.nodes[n]);
        }
        match found {
            Place::At(instance) => Ok(instance),
            Place::Refused(refuse) => {
                let refusal = Attempt::plan().refuse_once(refuse);
                Err(if fresh && refuse == Refuse::NotOwned {
                    refusal.of_key()
                } else {
                    refusal
                })
            }
        }
    }

    /// Tells a caller of a refusal, weakened as the entry does.
    fn refuse(&mut self, caller: usize, first: bool, refusal: Refusal) {
        let unsure = !first && refusal.scope() == Scope::Attempt;
        let refusal = refusal.after(if unsure {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        });
        self.tell(caller, &Err(refusal));
    }

    fn reply(&mut self, to: Instance, attempt: AttemptId, result: Answered) {
        let Some(n) = self.number(to) else { return };
        let Some(out) = self.nodes[n].out.remove(&attempt) else {
            return;
        };
        match result {
            Ok(kept) => self.tell(out.caller, &Ok(kept)),
            Err(r) => {
                let mut relayed = out
                    .attempt
                    .relay(attempt, r.verdict(), r.reason(), &r.detail);
                if r.scope() == Scope::Key {
                    relayed = relayed.of_key();
                }
                self.refuse(out.caller, out.first, relayed);
            }
        }
    }

    fn timeout(&mut self, at: Instance, attempt: AttemptId) {
        let Some(n) = self.number(at) else { return };
        if let Some(out) = self.nodes[n].out.remove(&attempt) {
            let refusal = out.attempt.lose(Reason::Timeout, "");
            self.refuse(out.caller, out.first, refusal);
        }
    }

    // Guards.

    fn answer(&mut self, at: Instance, to: Instance, attempt: AttemptId, result: Answered) {
        let (from, n) = (self.address(at), self.address(to));
        let event = Event::Reply {
            to,
            attempt,
            result,
        };
        if from == n {
            self.after(0, event);
        } else {
            self.message(from, n, event);
        }
    }

    fn call(&mut self, from: Instance, to: Instance, attempt: AttemptId, key: &OnceKey) {
        let Some(n) = self.number(to) else {
            // Another instance at the address refuses what is not meant for it.
            let n = self.address(to);
            if self.nodes[n].up {
                let refusal = Attempt::with_id(attempt).refuse(Reason::Replaced, "");
                self.answer(to, from, attempt, Err(refusal));
            }
            return;
        };
        let planned = Attempt::with_id(attempt);
        let own_row = self.nodes[n].row.as_ref().map(|(_, row)| &**row);
        if let Err(refuse) = authority(key, to, own_row) {
            return self.answer(to, from, attempt, Err(planned.refuse_once(refuse)));
        }
        if self.nodes[n].left_at.is_some() && !self.nodes[n].ledger.has_begun(key) {
            let refusal = planned.refuse(Reason::Shed(Shed::Leaving), "");
            return self.answer(to, from, attempt, Err(refusal));
        }
        let mint = self.mint();
        let hash = key.hash();
        let begin = self.nodes[n].ledger.begin(mint, key, hash);
        match begin {
            Begin::Start | Begin::Resume => {
                self.nodes[n]
                    .attached
                    .entry(key.clone())
                    .or_default()
                    .push((from, attempt));
                let resumed = begin == Begin::Resume;
                self.after(
                    1,
                    Event::Claim {
                        at: to,
                        key: key.clone(),
                        resumed,
                    },
                );
            }
            Begin::Attach => {
                self.nodes[n]
                    .attached
                    .entry(key.clone())
                    .or_default()
                    .push((from, attempt));
            }
            Begin::Answer(kept) => self.answer(to, from, attempt, Ok(kept)),
            Begin::Refuse(refuse) => {
                self.answer(to, from, attempt, Err(planned.refuse_once(refuse)));
            }
        }
    }

    fn claim(&mut self, at: Instance, key: &OnceKey, resumed: bool) {
        let Some(n) = self.number(at) else { return };
        if let OnceKey::Opaque(_) = key
            && let Err((refuse, keep)) = self.try_claim(n, at, key, resumed)
        {
            if keep {
                self.nodes[n].ledger.release(key);
            } else {
                self.nodes[n].ledger.retract(key);
            }
            let refusal = Attempt::plan().refuse_once(refuse);
            return self.answer_all(at, key, &Err(refusal));
        }
        if self.shedding && self.rng.random_bool(0.5) {
            self.nodes[n].ledger.release(key);
            let refusal = Attempt::plan()
                .refuse(Reason::Shed(Shed::Overload), "")
                .of_key();
            return self.answer_all(at, key, &Err(refusal));
        }
        self.after(
            1,
            Event::Start {
                at,
                key: key.clone(),
            },
        );
    }

    fn try_claim(
        &mut self,
        n: usize,
        own: Instance,
        key: &OnceKey,
        resumed: bool,
    ) -> Result<(), (Refuse, bool)> {
        if self.platform_cuts.contains(&n) {
            return Err((Refuse::NoPlatform, true));
        }
        let nonce = Nonce(self.rng.random());
        let claim = Claim { owner: own, nonce };
        let content = Bytes::from(serde_json::to_vec(&claim).expect("JSON"));
        let name = claim_key(&service(), key);
        match now(settle(&self.table, &name, Condition::Absent, content)) {
            Settled::Written(_) => Ok(()),
            Settled::Lost(row) => {
                let found = row
                    .and_then(|row| serde_json::from_slice(&row.content).ok())
                    .expect("a claim");
                match judge_claim(found, own, nonce) {
                    ClaimCheck::Won => Ok(()),
                    ClaimCheck::OwnEarlier if resumed => Ok(()),
                    ClaimCheck::OwnEarlier => Err((Refuse::Forgotten, false)),
                    ClaimCheck::Other(_) => Err((Refuse::WrongOwner, false)),
                }
            }
            Settled::NotSent(_) | Settled::Unsettled(_) => Err((Refuse::NoPlatform, true)),
        }
    }

    fn start(&mut self, at: Instance, key: &OnceKey) {
        let Some(n) = self.number(at) else { return };
        if let Some(left) = self.nodes[n].left_at
            && self.time > left + LEAVE
            && self.nodes[n].paused_until < left
        {
            self.violations.push(format!(
                "{key} started {} ms after its node left",
                self.time - left
            ));
        }
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violations.push(format!("{key} ran {runs} times"));
        }
        self.running.insert((at, key.clone()));
        let work = self.rng.random_range(5..60);
        self.after(
            work,
            Event::Finish {
                at,
                key: key.clone(),
            },
        );
    }

    fn finish(&mut self, at: Instance, key: &OnceKey) {
        let Some(n) = self.number(at) else { return };
        self.running.remove(&(at, key.clone()));
        let kept = Kept {
            status: 200,
            headers: Vec::new(),
            body: Some(key.to_string().into_bytes().into()),
        };
        self.nodes[n].ledger.finish(key, kept.clone());
        self.answer_all(at, key, &Ok(kept));
    }

    fn answer_all(&mut self, at: Instance, key: &OnceKey, result: &Answered) {
        let Some(n) = self.number(at) else { return };
        for (to, attempt) in self.nodes[n].attached.remove(key).unwrap_or_default() {
            self.answer(at, to, attempt, result.clone());
        }
    }

    // Home rows, membership and configuration.

    fn take_row(&mut self, n: usize, revision: Revision, content: &[u8]) {
        let row = HomeRow::decode(content).expect("a home row");
        self.keep_row(n, revision, Rc::new(row));
    }

    fn keep_row(&mut self, n: usize, revision: Revision, row: Rc<HomeRow>) {
        let known = self.nodes[n].row.as_ref().map(|(r, _)| *r);
        if known.is_none_or(|known| known < revision) {
            self.nodes[n].row = Some((revision, row));
        }
    }

    fn tick(&mut self, n: usize) {
        if !self.nodes[n].up {
            return;
        }
        self.after(TICK, Event::Tick(n));
        self.plan_home(n);
        self.watch(n);
        self.read_config(n);
        let node = &self.nodes[n];
        let members: Vec<Member> = node.view.members().cloned().collect();
        let row = node.row.clone();
        let version = node.rollout.current();
        for to in (0..NODES).filter(|to| *to != n) {
            let event = Event::Gossip {
                to,
                members: members.clone(),
                row: row.clone(),
                version,
            };
            self.message(n, to, event);
        }
    }

    fn plan_home(&mut self, n: usize) {
        if self.platform_cuts.contains(&n) || self.nodes[n].left_at.is_some() {
            return;
        }
        let live: Vec<Instance> = self.nodes[n]
            .view
            .serving(&service())
            .map(|m| m.instance)
            .collect();
        let horizon = Horizon {
            ahead: Duration::from_millis(HORIZON_MS),
            memory: Duration::from_secs(3600),
        };
        let known = self.nodes[n].row.clone();
        let row = known
            .as_ref()
            .map(|(_, row)| (**row).clone())
            .unwrap_or_default();
        let Some(next) = plan(&row, self.mint(), &live, horizon) else {
            return;
        };
        if !row.allows(&next, self.nodes[n].instance) {
            self.violations.push("a plan takes a promise back".into());
        }
        let condition = known.map_or(Condition::Absent, |(revision, _)| {
            Condition::Revision(revision)
        });
        match now(settle(&self.table, "home", condition, next.encode().into())) {
            Settled::Written(revision) => self.nodes[n].row = Some((revision, Rc::new(next))),
            Settled::Lost(Some(found)) => self.take_row(n, found.revision, &found.content),
            _ => {}
        }
    }

    /// Calls a neighbour silent that could not answer.
    fn watch(&mut self, n: usize) {
        let next = (n + 1) % NODES;
        let other = &self.nodes[next];
        let unheard = !other.up || other.paused_until > self.time || self.cuts.contains(&(n, next));
        if unheard {
            let known = self.nodes[n]
                .view
                .at(other.instance.address)
                .map(|m| m.instance);
            let at = self.instant();
            if let Some(known) = known {
                self.nodes[n].view.call_silent(at, known);
            }
        }
    }

    fn gossip(
        &mut self,
        to: usize,
        members: Vec<Member>,
        row: Option<(Revision, Rc<HomeRow>)>,
        version: Version,
    ) {
        if !self.nodes[to].up {
            return;
        }
        let at = self.instant();
        for member in members {
            self.nodes[to].view.merge(at, member);
        }
        if let Some((revision, row)) = row {
            self.keep_row(to, revision, row);
        }
        self.take_version(to, version);
    }

    fn take_version(&mut self, n: usize, version: Version) {
        let before = self.nodes[n].rollout.current();
        if self.nodes[n].rollout.offer(version) == Offer::Take {
            self.nodes[n].rollout.take(version);
        }
        if self.nodes[n].rollout.current() < before {
            self.violations
                .push(format!("node {n} went back from version {before}"));
        }
    }

    fn read_config(&mut self, n: usize) {
        if self.platform_cuts.contains(&n) || !self.nodes[n].up {
            return;
        }
        if let Ok(Some(row)) = now(self.table.read("config")) {
            let (version, _) = config(&row.content);
            self.take_version(n, version);
        }
    }

    fn apply(&mut self, n: usize, change: u64, base: Version) {
        if !self.nodes[n].up || self.platform_cuts.contains(&n) {
            return;
        }
        let Ok(found) = now(self.table.read("config")) else {
            return;
        };
        let (condition, current) = match &found {
            Some(row) => (Condition::Revision(row.revision), config(&row.content)),
            None => (Condition::Absent, (Version::NONE, 0)),
        };
        if current.1 == change && change != 0 {
            return self.accept(n, current.0, change);
        }
        if current.0 != base {
            return;
        }
        let version = base.next();
        let content = format!("{} {change}", version.get());
        match now(settle(&self.table, "config", condition, content.into())) {
            Settled::Written(_) => self.accept(n, version, change),
            Settled::Unsettled(_) => {
                self.unsettled.push((n, change, base));
                self.after(
                    OUTAGE + 1000,
                    Event::Apply {
                        node: n,
                        change,
                        base,
                    },
                );
            }
            Settled::Lost(_) | Settled::NotSent(_) => {}
        }
    }

    fn accept(&mut self, n: usize, version: Version, change: u64) {
        let clash = self
            .accepted
            .iter()
            .any(|(v, c)| *v == version && *c != change);
        if clash {
            self.violations
                .push(format!("version {version} was accepted twice"));
        }
        self.accepted.push((version, change));
        self.take_version(n, version);
    }

    // A planned stop.

    fn stop_step(&mut self, at: Instance, step: u8) {
        let Some(n) = self.number(at) else { return };
        let instant = self.instant();
        match step {
            0 if self.nodes[n].left_at.is_none() => {
                self.nodes[n].left_at = Some(self.time);
                self.nodes[n]
                    .view
                    .say(instant, |own| own.state = MemberState::Leaving);
                self.after(1500, Event::StopStep { at, step: 1 });
            }
            1 => {
                // A call that is being claimed is under way too.
                let busy = !self.nodes[n].attached.is_empty();
                let next = if busy { 1 } else { 2 };
                self.after(20, Event::StopStep { at, step: next });
            }
            2 => {
                self.nodes[n].ledger.stop();
                self.after(1, Event::StopStep { at, step: 3 });
            }
            3 => {
                self.hand_over(n, at);
                self.after(1, Event::StopStep { at, step: 4 });
            }
            4 => {
                if self.running.iter().any(|(i, _)| *i == at) {
                    self.violations.push("a planned stop cut a call".into());
                }
                self.nodes[n]
                    .view
                    .say(instant, |own| own.state = MemberState::Left);
                self.crash(n);
            }
            _ => {}
        }
    }

    fn hand_over(&mut self, n: usize, own: Instance) {
        let heir = self.nodes[n]
            .view
            .serving(&service())
            .map(|m| m.instance)
            .find(|i| *i != own);
        let Some(heir) = heir else { return };
        let Some(to) = self.number(heir) else { return };
        let reached = !self.cuts.contains(&(n, to)) && self.nodes[to].paused_until <= self.time;
        if !reached || self.nodes[to].ledger.is_stopped() {
            return;
        }
        let entries: Vec<(OnceKey, State, u64)> = self.nodes[n]
            .ledger
            .entries()
            .map(|(key, entry)| (key.clone(), entry.state.clone(), entry.body_hash))
            .collect();
        let forgotten = self.nodes[n].ledger.forgotten();
        let mint = self.mint();
        self.nodes[to].ledger.adopt_forgotten(forgotten);
        for (key, state, hash) in entries {
            self.nodes[to].ledger.adopt(mint, key, state, hash);
        }
        let Some((revision, row)) = self.nodes[n].row.clone() else {
            return;
        };
        if self.platform_cuts.contains(&n) {
            return;
        }
        let next = hand_over(&row, own, Successor(heir));
        let condition = Condition::Revision(revision);
        if let Settled::Written(revision) =
            now(settle(&self.table, "home", condition, next.encode().into()))
        {
            self.nodes[n].row = Some((revision, Rc::new(next)));
        }
    }

    // What must hold in the end.

    fn check_end(&mut self) {
        for caller in &self.callers {
            let runs = self.runs.get(&caller.key).copied().unwrap_or(0);
            let taken = caller.done && !caller.answered && !caller.silent;
            if taken && caller.told == Some(Verdict::NotRun) && runs > 0 {
                self.violations
                    .push(format!("{} was said not to run and ran later", caller.key));
            }
        }
        let newest = self
            .accepted
            .iter()
            .map(|(v, _)| *v)
            .max()
            .unwrap_or_default();
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            if node.rollout.current() < newest {
                self.violations
                    .push(format!("node {n} does not run accepted version {newest}"));
            }
            for member in node.view.members() {
                let there = &self.nodes[self.address(member.instance)];
                if there.up && there.left_at.is_none() && member.state == MemberState::Silent {
                    self.violations
                        .push(format!("node {n} still calls a well node silent"));
                }
            }
        }
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.clone()
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
