//! Callers of several workspaces at one guard.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use bramleymount::model::{ClassRank, Depth, Priority, RootId, Slots, WorkspaceId};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, Outcome, QueuedCall, Settings, Weights,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

pub(crate) const SLOTS: u32 = 28;
/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(2);

/// One workspace that asks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asker {
    pub(crate) id: Option<WorkspaceId>,
    pub(crate) rank: usize,
    /// Calls a second.
    pub(crate) rate: f64,
    pub(crate) takes: Duration,
}

impl Asker {
    pub(crate) fn new(id: u32, rate: f64, takes_ms: u64) -> Self {
        Self {
            id: WorkspaceId::from_raw(id),
            rank: 2,
            rate,
            takes: Duration::from_millis(takes_ms),
        }
    }
}

/// What one workspace got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Got {
    pub(crate) asked: u32,
    pub(crate) served: u32,
    pub(crate) time: Duration,
}

impl Got {
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives(usize),
    Ends(CallToken),
}

struct Work {
    place: usize,
    takes: Duration,
    started: Instant,
    outcome: Outcome,
}

pub(crate) struct Guard {
    pub(crate) admission: Admission,
    pub(crate) now: Instant,
    pub(crate) got: Vec<Got>,
    /// Slot time that was free.
    pub(crate) idle: Duration,
    /// While set, no call is answered before its caller gives up.
    pub(crate) hangs: bool,
    rng: StdRng,
    askers: Vec<Asker>,
    agenda: BinaryHeap<Reverse<(Instant, Next)>>,
    work: HashMap<CallToken, Work>,
    calls: u64,
}

impl Guard {
    /// Makes a guard that shares by these weights, or does not share.
    pub(crate) fn new(weights: Option<Weights>, seed: u64) -> Self {
        let now = Instant::now();
        let settings = Settings {
            slots: Slots::new(SLOTS),
            cold: false,
            protected: None,
        };
        let mut admission = Admission::new(now, settings);
        admission.set_weights(now, weights);
        Self {
            admission,
            now,
            got: Vec::new(),
            idle: Duration::ZERO,
            hangs: false,
            rng: StdRng::seed_from_u64(seed),
            askers: Vec::new(),
            agenda: BinaryHeap::new(),
            work: HashMap::new(),
            calls: 0,
        }
    }

    /// Lets these ask for some time, and counts what they got in it.
    pub(crate) fn play(&mut self, askers: &[Asker], time: Duration) -> Vec<Got> {
        self.askers = askers.to_vec();
        self.got = vec![Got::default(); askers.len()];
        self.idle = Duration::ZERO;
        let end = self.now + time;
        for place in 0..askers.len() {
            self.expect(place);
        }
        while let Some(Reverse((at, next))) = self.agenda.pop() {
            if at >= end {
                self.agenda.push(Reverse((at, next)));
                break;
            }
            self.advance(at);
            match next {
                Next::Arrives(place) => self.arrive(place),
                Next::Ends(token) => self.end(token),
            }
        }
        self.advance(end);
        self.agenda
            .retain(|Reverse((_, next))| matches!(next, Next::Ends(_)));
        std::mem::take(&mut self.got)
    }

    fn advance(&mut self, to: Instant) {
        let free = SLOTS as usize - self.admission.in_flight();
        let free = u32::try_from(free).expect("a few");
        self.idle += to.saturating_duration_since(self.now) * free;
        self.now = to;
    }

    fn expect(&mut self, place: usize) {
        let gap = -self.rng.random_range(1e-9..1.0f64).ln() / self.askers[place].rate;
        let at = self.now + Duration::from_secs_f64(gap);
        self.agenda.push(Reverse((at, Next::Arrives(place))));
    }

    fn arrive(&mut self, place: usize) {
        self.expect(place);
        self.calls += 1;
        self.got[place].asked += 1;
        let asker = self.askers[place];
        let token = CallToken(self.calls);
        let root = RootId::new(self.rng.random());
        let call = QueuedCall {
            token,
            priority: Priority::new(ClassRank::new(asker.rank), Depth::new(3), root),
            workspace: asker.id,
            deadline: self.now + PATIENCE,
            expires: self.now + PATIENCE,
            may_wait: true,
        };
        let work = Work {
            place,
            takes: asker.takes.mul_f64(self.rng.random_range(0.5..1.5)),
            started: self.now,
            outcome: Outcome::Answered,
        };
        self.work.insert(token, work);
        let (decision, events) = self.admission.arrive(self.now, call);
        match decision {
            Decision::Start => self.start(token),
            Decision::Wait(_) => {}
            Decision::Shed(_) => drop(self.work.remove(&token)),
        }
        self.take(events);
    }

    fn take(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Start(token) => self.start(token),
                Event::Shed(token, _) => drop(self.work.remove(&token)),
            }
        }
    }

    fn start(&mut self, token: CallToken) {
        let Some(work) = self.work.get_mut(&token) else {
            return;
        };
        work.started = self.now;
        if self.hangs {
            (work.takes, work.outcome) = (PATIENCE, Outcome::Failed);
        }
        let end = self.now + work.takes;
        self.agenda.push(Reverse((end, Next::Ends(token))));
    }

    fn end(&mut self, token: CallToken) {
        if let Some(work) = self.work.remove(&token) {
            if let Some(got) = self.got.get_mut(work.place) {
                got.time += self.now.saturating_duration_since(work.started);
                got.served += u32::from(work.outcome == Outcome::Answered);
            }
            let events = self.admission.finish(self.now, token, work.outcome);
            self.take(events);
        }
        let events = self.admission.expire(self.now);
        self.take(events);
    }
}
