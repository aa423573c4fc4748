//! Simulation of an overloaded service, the callers of its call trees, and an
//! entry in front of it.

use std::collections::HashMap;
use std::time::Duration;

use bramleymount::model::{ClassRank, Depth, Level, Priority, RootId, Slots};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, Outcome, QueuedCall, Settings,
};
use bramleymount::policy::front::{
    AdmittedShare, FrontOptions, RefusedCaller, RetryDetector, backoff, boosted_root,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const SLOTS: u32 = 15;
const CALL_MS: u64 = 15;
const CALLS_PER_TREE: u32 = 8;
const CALLER_TIME_MS: u64 = 5000;
const ATTEMPT_MS: u64 = 800;
const OBJECTIVE_MS: u64 = 1500;
const RUN_MS: u64 = 20_000;
/// Interval at which the front learns the level.
const STATUS_MS: u64 = 50;
/// Share of the callers in the urgent class.
const URGENT_SHARE: f64 = 0.33;
/// Call trees per second at full capacity.
pub(crate) const TREES_PER_SECOND: f64 = 125.0;

/// Outcomes of the callers of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    arrivals: u32,
    served: u32,
    in_time: u32,
    returned: u32,
    served_again: u32,
}

impl Tally {
    /// Returns the share of the callers that were served.
    pub(crate) fn served(&self) -> f64 {
        share(self.served, self.arrivals)
    }

    /// Returns the share of them that were served within the objective.
    pub(crate) fn in_time(&self) -> f64 {
        share(self.in_time, self.arrivals)
    }

    /// Returns the share of the returning callers that were served.
    pub(crate) fn served_again(&self) -> f64 {
        share(self.served_again, self.returned)
    }

    /// Returns the share of the callers that were served at once.
    pub(crate) fn served_new(&self) -> f64 {
        share(self.served - self.served_again, self.arrivals)
    }
}

fn share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

#[derive(Clone, Copy)]
struct Caller {
    urgent: bool,
    arrival: u64,
    is_retry: bool,
}

#[derive(Clone, Copy)]
struct Tree {
    caller: Caller,
    root: RootId,
    calls_left: u32,
    deadline_ms: u64,
}

pub(crate) struct World {
    options: FrontOptions,
    demand: fn(u64) -> f64,
    restart: Option<u64>,
    start: Instant,
    rng: StdRng,
    admission: Admission,
    level: Level,
    detector: RetryDetector,
    admitted: AdmittedShare,
    calls: HashMap<CallToken, Tree>,
    running: Vec<(u64, CallToken)>,
    returns: Vec<(u64, Caller)>,
    next_token: u64,
    tallies: [Tally; 2],
}

impl World {
    /// Creates a simulation with a demand over time, as a share of capacity.
    pub(crate) fn new(options: FrontOptions, demand: fn(u64) -> f64) -> Self {
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
            level: Level::ADMIT_ALL,
            detector: RetryDetector::new(start),
            admitted: AdmittedShare::default(),
            calls: HashMap::new(),
            running: Vec::new(),
            returns: Vec::new(),
            next_token: 0,
            tallies: [Tally::default(); 2],
        }
    }

    /// Restarts the entry at a time, so that it loses its state.
    pub(crate) fn restarted(self, at_ms: u64) -> Self {
        Self {
            restart: Some(at_ms),
            ..self
        }
    }

    /// Returns the outcomes of the urgent callers and of the others.
    pub(crate) fn run(mut self) -> [Tally; 2] {
        for now in 0..RUN_MS {
            if self.restart == Some(now) {
                self.detector = RetryDetector::new(self.at(now));
                self.admitted = AdmittedShare::default();
            }
            self.finish(now);
            let events = self.admission.expire(self.at(now));
            self.apply(now, events);
            if now % STATUS_MS == 0 {
                self.level = self.admission.status(self.at(now)).demand.level;
            }
            let expected = (self.demand)(now) * TREES_PER_SECOND / 1000.0;
            if self.rng.random_bool(expected.min(1.0)) {
                let caller = Caller {
                    urgent: self.rng.random_bool(URGENT_SHARE),
                    arrival: now,
                    is_retry: false,
                };
                self.tally(caller).arrivals += 1;
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
        if caller.is_retry {
            self.tally(caller).returned += 1;
        }
        let time_left = Duration::from_millis(CALLER_TIME_MS - (now - caller.arrival));
        let waited = self.detector.observe(self.at(now), time_left);
        let own = RootId::new(self.rng.random());
        let root = match waited {
            Some(_) if self.options.boost => boosted_root(own),
            _ => own,
        };
        if priority(caller, 0, root).level() < self.level {
            return self.refuse(now, caller);
        }
        let (calls_left, deadline_ms) = (CALLS_PER_TREE, now + ATTEMPT_MS);
        self.call(
            now,
            Tree {
                caller,
                root,
                calls_left,
                deadline_ms,
            },
        );
    }

    fn refuse(&mut self, now: u64, caller: Caller) {
        if caller.is_retry {
            return;
        }
        let time_left = Duration::from_millis(CALLER_TIME_MS - (now - caller.arrival));
        let rank = rank(caller);
        self.admitted.record(self.at(now), rank, self.level);
        let refused = RefusedCaller {
            time_left,
            slack: Duration::from_millis(OBJECTIVE_MS - ATTEMPT_MS),
        };
        let delay = if self.options.backoff {
            backoff(refused, &self.admitted, &mut self.rng)
        } else {
            Some(Duration::from_millis(self.rng.random_range(500..1500)))
        };
        let delay = delay.unwrap_or_default().as_millis() as u64;
        let is_retry = true;
        self.returns
            .push((now + delay, Caller { is_retry, ..caller }));
    }

    fn call(&mut self, now: u64, tree: Tree) {
        let priority = priority(tree.caller, 1, tree.root);
        if priority.level() < self.level || now >= tree.deadline_ms {
            return self.fail(now, tree);
        }
        self.next_token += 1;
        let token = CallToken(self.next_token);
        self.calls.insert(token, tree);
        let deadline = self.at(tree.deadline_ms);
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
        self.apply(now, events);
    }

    fn apply(&mut self, now: u64, events: Vec<Event>) {
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
        if !tree.caller.is_retry {
            let is_retry = true;
            self.returns.push((
                now + 1,
                Caller {
                    is_retry,
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
            self.apply(now, events);
            match self.calls.remove(&token) {
                Some(tree) if tree.calls_left > 1 => {
                    let calls_left = tree.calls_left - 1;
                    self.call(now, Tree { calls_left, ..tree });
                }
                Some(tree) => self.answer(now, tree.caller),
                None => {}
            }
        }
    }

    fn answer(&mut self, now: u64, caller: Caller) {
        let in_time = now - caller.arrival <= OBJECTIVE_MS;
        let tally = self.tally(caller);
        tally.served += 1;
        tally.in_time += u32::from(in_time);
        tally.served_again += u32::from(caller.is_retry);
    }
}

fn rank(caller: Caller) -> ClassRank {
    ClassRank::new(usize::from(!caller.urgent))
}

fn priority(caller: Caller, depth: u8, root: RootId) -> Priority {
    Priority::new(rank(caller), Depth::new(depth), root)
}
