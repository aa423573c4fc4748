//! One short service, the callers of its trees, and an entry before it.

use std::collections::HashMap;
use std::time::Duration;

use bramleymount::model::{ClassRank, Depth, Level, Priority, RootId, Slots};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, Outcome, QueuedCall, Settings,
};
use bramleymount::policy::front::{
    Options, Outlook, RefusedCaller, RetryDetector, backoff, boosted,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const SLOTS: u32 = 15;
const CALL_MS: u64 = 15;
const CALLS: u32 = 8;
const WAIT_MS: u64 = 5000;
const ATTEMPT_MS: u64 = 800;
const OBJECTIVE_MS: u64 = 1500;
const END_MS: u64 = 20_000;
/// Time in which news of the level reach the front.
const NEWS_MS: u64 = 50;
/// Share of the callers that are of the urgent class.
const URGENT: f64 = 0.33;
/// Trees a second that take all that can be served.
pub(crate) const CAPACITY: f64 = 125.0;

/// What became of the callers of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    came: u32,
    served: u32,
    in_time: u32,
    returned: u32,
    served_again: u32,
}

impl Tally {
    /// Returns the share of the callers that were served.
    pub(crate) fn served(&self) -> f64 {
        share(self.served, self.came)
    }

    /// Returns the share of them that were served within the objective.
    pub(crate) fn in_time(&self) -> f64 {
        share(self.in_time, self.came)
    }

    /// Returns the share of those who came back that were served.
    pub(crate) fn served_again(&self) -> f64 {
        share(self.served_again, self.returned)
    }

    /// Returns the share of the callers that were served at once.
    pub(crate) fn served_new(&self) -> f64 {
        share(self.served - self.served_again, self.came)
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

#[derive(Clone, Copy)]
struct Caller {
    urgent: bool,
    came: u64,
    again: bool,
}

#[derive(Clone, Copy)]
struct Tree {
    caller: Caller,
    root: RootId,
    left: u32,
    until: u64,
}

pub(crate) struct World {
    options: Options,
    demand: fn(u64) -> f64,
    restart: Option<u64>,
    start: Instant,
    rng: StdRng,
    admission: Admission,
    level: Level,
    detector: RetryDetector,
    outlook: Outlook,
    calls: HashMap<CallToken, Tree>,
    running: Vec<(u64, CallToken)>,
    returns: Vec<(u64, Caller)>,
    next: u64,
    tallies: [Tally; 2],
}

impl World {
    /// Makes a world with so many callers a second, as a share of capacity.
    pub(crate) fn new(options: Options, demand: fn(u64) -> f64) -> Self {
        let start = Instant::now();
        let settings = Settings {
            slots: Slots::new(SLOTS),
            cold: false,
            protected: None,
        };
        let admission = Admission::new(start, settings);
        Self {
            options,
            demand,
            restart: None,
            start,
            rng: StdRng::seed_from_u64(11),
            admission,
            level: Level::OPEN,
            detector: RetryDetector::new(start),
            outlook: Outlook::default(),
            calls: HashMap::new(),
            running: Vec::new(),
            returns: Vec::new(),
            next: 0,
            tallies: [Tally::default(); 2],
        }
    }

    /// Lets the entry forget all at a time.
    pub(crate) fn restarted(self, at_ms: u64) -> Self {
        Self {
            restart: Some(at_ms),
            ..self
        }
    }

    /// Returns what became of the urgent callers and of the others.
    pub(crate) fn run(mut self) -> [Tally; 2] {
        for now in 0..END_MS {
            if self.restart == Some(now) {
                self.detector = RetryDetector::new(self.at(now));
                self.outlook = Outlook::default();
            }
            self.finish(now);
            let events = self.admission.expire(self.at(now));
            self.take(now, events);
            if now % NEWS_MS == 0 {
                self.level = self.admission.status(self.at(now)).demand.level;
            }
            let expected = (self.demand)(now) * CAPACITY / 1000.0;
            if self.rng.random_bool(expected.min(1.0)) {
                let caller = Caller {
                    urgent: self.rng.random_bool(URGENT),
                    came: now,
                    again: false,
                };
                self.tally(caller).came += 1;
                self.ask(now, caller);
            }
            let all = std::mem::take(&mut self.returns);
            let (due, later) = all.into_iter().partition(|(at, _)| *at <= now);
            self.returns = later;
            let due: Vec<(u64, Caller)> = due;
            due.into_iter()
                .for_each(|(_, caller)| self.ask(now, caller));
        }
        self.tallies
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn tally(&mut self, caller: Caller) -> &mut Tally {
        &mut self.tallies[usize::from(!caller.urgent)]
    }

    fn ask(&mut self, now: u64, caller: Caller) {
        if caller.again {
            self.tally(caller).returned += 1;
        }
        let left = Duration::from_millis(WAIT_MS - (now - caller.came));
        let waited = self.detector.observe(self.at(now), left);
        let own = RootId::new(self.rng.random());
        let root = match waited {
            Some(_) if self.options.boost => boosted(own),
            _ => own,
        };
        if priority(caller, 0, root).level() < self.level {
            return self.refuse(now, caller);
        }
        let (left, until) = (CALLS, now + ATTEMPT_MS);
        self.call(
            now,
            Tree {
                caller,
                root,
                left,
                until,
            },
        );
    }

    fn refuse(&mut self, now: u64, caller: Caller) {
        if caller.again {
            return;
        }
        let left = Duration::from_millis(WAIT_MS - (now - caller.came));
        let rank = rank(caller);
        self.outlook.see(self.at(now), rank, self.level);
        let refused = RefusedCaller {
            left,
            spare: Duration::from_millis(OBJECTIVE_MS - ATTEMPT_MS),
        };
        let told = if self.options.backoff {
            backoff(refused, &self.outlook, &mut self.rng)
        } else {
            Some(Duration::from_millis(self.rng.random_range(500..1500)))
        };
        let told = told.unwrap_or_default().as_millis() as u64;
        let again = true;
        self.returns.push((now + told, Caller { again, ..caller }));
    }

    fn call(&mut self, now: u64, tree: Tree) {
        let priority = priority(tree.caller, 1, tree.root);
        if priority.level() < self.level || now >= tree.until {
            return self.fail(now, tree);
        }
        self.next += 1;
        let token = CallToken(self.next);
        self.calls.insert(token, tree);
        let deadline = self.at(tree.until);
        let call = QueuedCall {
            token,
            priority,
            workspace: None,
            deadline,
            expires: deadline,
            may_wait: true,
        };
        let (decision, events) = self.admission.arrive(self.at(now), call);
        match decision {
            Decision::Start => self.running.push((now + CALL_MS, token)),
            Decision::Wait(_) => {}
            Decision::Shed(_) => self.shed(now, token),
        }
        self.take(now, events);
    }

    fn take(&mut self, now: u64, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Start(token) => self.running.push((now + CALL_MS, token)),
                Event::Shed(token, _) => self.shed(now, token),
            }
        }
    }

    fn shed(&mut self, now: u64, token: CallToken) {
        if let Some(tree) = self.calls.remove(&token) {
            self.fail(now, tree);
        }
    }

    fn fail(&mut self, now: u64, tree: Tree) {
        if !tree.caller.again {
            let again = true;
            self.returns.push((
                now + 1,
                Caller {
                    again,
                    ..tree.caller
                },
            ));
        }
    }

    fn finish(&mut self, now: u64) {
        let all = std::mem::take(&mut self.running);
        let (ended, running) = all.into_iter().partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, CallToken)> = ended;
        for (_, token) in ended {
            let events = self
                .admission
                .finish(self.at(now), token, Outcome::Answered);
            self.take(now, events);
            match self.calls.remove(&token) {
                Some(tree) if tree.left > 1 => {
                    let left = tree.left - 1;
                    self.call(now, Tree { left, ..tree });
                }
                Some(tree) => self.answer(now, tree.caller),
                None => {}
            }
        }
    }

    fn answer(&mut self, now: u64, caller: Caller) {
        let in_time = now - caller.came <= OBJECTIVE_MS;
        let tally = self.tally(caller);
        tally.served += 1;
        tally.in_time += u32::from(in_time);
        tally.served_again += u32::from(caller.again);
    }
}

fn rank(caller: Caller) -> ClassRank {
    ClassRank::new(usize::from(!caller.urgent))
}

fn priority(caller: Caller, depth: u8, root: RootId) -> Priority {
    Priority::new(rank(caller), Depth::new(depth), root)
}
