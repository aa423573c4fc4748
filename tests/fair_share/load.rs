//! Simulated callers of several workspaces at one guard.

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
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// The load of one workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) id: Option<WorkspaceId>,
    pub(crate) rank: usize,
    /// Calls a second.
    pub(crate) rate: f64,
    pub(crate) call_time: Duration,
}

impl Load {
    pub(crate) fn new(id: u32, rate: f64, call_ms: u64) -> Self {
        Self {
            id: WorkspaceId::from_raw(id),
            rank: 2,
            rate,
            call_time: Duration::from_millis(call_ms),
        }
    }
}

/// The service that one workspace received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Service {
    pub(crate) calls: u32,
    pub(crate) served: u32,
    pub(crate) time: Duration,
}

impl Service {
    pub(crate) fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival(usize),
    End(CallToken),
}

struct Work {
    place: usize,
    call_time: Duration,
    started: Instant,
    outcome: Outcome,
}

pub(crate) struct Guard {
    pub(crate) admission: Admission,
    pub(crate) now: Instant,
    pub(crate) received: Vec<Service>,
    /// Unused slot time.
    pub(crate) idle: Duration,
    /// Whether the server hangs: no call is answered before its caller gives up.
    pub(crate) hangs: bool,
    rng: StdRng,
    loads: Vec<Load>,
    agenda: BinaryHeap<Reverse<(Instant, SimEvent)>>,
    work: HashMap<CallToken, Work>,
    calls: u64,
}

impl Guard {
    /// Creates a guard that shares by `weights`, or does not share if `None`.
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
            received: Vec::new(),
            idle: Duration::ZERO,
            hangs: false,
            rng: StdRng::seed_from_u64(seed),
            loads: Vec::new(),
            agenda: BinaryHeap::new(),
            work: HashMap::new(),
            calls: 0,
        }
    }

    /// Lets the workspaces send calls for `time` and returns what each received.
    pub(crate) fn simulate(&mut self, loads: &[Load], time: Duration) -> Vec<Service> {
        self.loads = loads.to_vec();
        self.received = vec![Service::default(); loads.len()];
        self.idle = Duration::ZERO;
        let end = self.now + time;
        for place in 0..loads.len() {
            self.schedule(place);
        }
        while let Some(Reverse((at, next))) = self.agenda.pop() {
            if at >= end {
                self.agenda.push(Reverse((at, next)));
                break;
            }
            self.advance(at);
            match next {
                SimEvent::Arrival(place) => self.arrive(place),
                SimEvent::End(token) => self.end(token),
            }
        }
        self.advance(end);
        self.agenda
            .retain(|Reverse((_, next))| matches!(next, SimEvent::End(_)));
        std::mem::take(&mut self.received)
    }

    fn advance(&mut self, to: Instant) {
        let free = SLOTS as usize - self.admission.in_flight();
        let free = u32::try_from(free).expect("a few");
        self.idle += to.saturating_duration_since(self.now) * free;
        self.now = to;
    }

    fn schedule(&mut self, place: usize) {
        let gap = -self.rng.random_range(1e-9..1.0f64).ln() / self.loads[place].rate;
        let at = self.now + Duration::from_secs_f64(gap);
        self.agenda.push(Reverse((at, SimEvent::Arrival(place))));
    }

    fn arrive(&mut self, place: usize) {
        self.schedule(place);
        self.calls += 1;
        self.received[place].calls += 1;
        let load = self.loads[place];
        let token = CallToken(self.calls);
        let root = RootId::new(self.rng.random());
        let call = QueuedCall {
            token,
            priority: Priority::new(ClassRank::new(load.rank), Depth::new(3), root),
            workspace: load.id,
            deadline: self.now + CALLER_TIMEOUT,
            expires: self.now + CALLER_TIMEOUT,
            may_wait: true,
        };
        let work = Work {
            place,
            call_time: load.call_time.mul_f64(self.rng.random_range(0.5..1.5)),
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
            (work.call_time, work.outcome) = (CALLER_TIMEOUT, Outcome::Failed);
        }
        let end = self.now + work.call_time;
        self.agenda.push(Reverse((end, SimEvent::End(token))));
    }

    fn end(&mut self, token: CallToken) {
        if let Some(work) = self.work.remove(&token) {
            if let Some(received) = self.received.get_mut(work.place) {
                received.time += self.now.saturating_duration_since(work.started);
                received.served += u32::from(work.outcome == Outcome::Answered);
            }
            let events = self.admission.finish(self.now, token, work.outcome);
            self.take(events);
        }
        let events = self.admission.expire(self.now);
        self.take(events);
    }
}
