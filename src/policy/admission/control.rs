//! Admission control of one guard.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::wait_queue::WaitQueue;
use super::{
    Backlog, CallToken, ConcurrencyLimit, Decision, DownstreamLevels, Event, FairQueue, FaultRate,
    OnwardOutcome, Outcome, PriorityQueue, QueuedCall, Shed, SlotCharge, Threshold, Throttle,
    Weights,
};
use crate::model::{ClassRank, Level, Priority, Slots};

/// Longest time in the queue for a call that is not protected.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Time in which a full queue should be served.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(50);
/// Bounds of the queue's length, as a multiple of the concurrency limit.
const QUEUE_RATIO: std::ops::RangeInclusive<f64> = 0.5..=4.0;
/// Least number of calls that the queue holds.
const MIN_QUEUE_LEN: usize = 4;

/// Properties of the backend server and its service that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Slots of the backend server.
    pub slots: Slots,
    /// Whether the backend server has just started.
    pub cold: bool,
    /// The least important class whose calls are protected, if any.
    pub protected: Option<ClassRank>,
}

/// Admits, queues and sheds the calls to one backend server.
#[derive(Debug)]
pub struct Admission {
    pub(super) limit: ConcurrencyLimit,
    pub(super) queue: WaitQueue,
    pub(super) threshold: Threshold,
    pub(super) throttle: Throttle,
    pub(super) downstream: DownstreamLevels,
    pub(super) fault_rate: FaultRate,
    protected: Option<ClassRank>,
    pub(super) running: HashMap<CallToken, RunningCall>,
    pub(super) leaving: bool,
    pub(super) start_count: u64,
    pub(super) shed_count: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    start: Instant,
    level: Level,
    charge: Option<SlotCharge>,
}

impl Admission {
    /// Creates the admission control of a backend server.
    pub fn new(now: Instant, settings: Settings) -> Self {
        let limit = if settings.cold {
            ConcurrencyLimit::cold(settings.slots)
        } else {
            ConcurrencyLimit::warm(settings.slots)
        };
        Self {
            limit,
            queue: WaitQueue::ByPriority(PriorityQueue::default()),
            threshold: Threshold::new(now),
            throttle: Throttle::default(),
            downstream: DownstreamLevels::default(),
            fault_rate: FaultRate::default(),
            protected: settings.protected,
            running: HashMap::new(),
            leaving: false,
            start_count: 0,
            shed_count: 0,
        }
    }

    /// Applies changed rules; calls in flight are not affected.
    pub fn reload(&mut self, slots: Slots, protected: Option<ClassRank>) {
        self.limit.resize(slots);
        self.protected = protected;
    }

    /// Shares slot time among workspaces by `weights`; `None` ends the sharing.
    pub fn set_weights(&mut self, now: Instant, weights: Option<Weights>) {
        self.queue.set_weights(now, weights);
    }

    /// Returns the fair queue if slot time is shared among workspaces.
    pub fn fair_queue(&mut self) -> Option<&mut FairQueue> {
        self.queue.fair_queue()
    }

    /// Discards everything learned about the backend server, after a new run of it
    /// has replaced the old one.
    pub fn forget(&mut self, slots: Slots) {
        self.reset_estimates(slots);
        self.throttle.forget();
    }

    fn reset_estimates(&mut self, slots: Slots) {
        self.limit = ConcurrencyLimit::warm(slots);
        self.fault_rate = FaultRate::default();
        self.queue.forget();
    }

    /// Resets the estimates for a backend server that has just started, and accepts
    /// calls again.
    pub fn restart(&mut self, slots: Slots) {
        self.reset_estimates(slots);
        self.limit = ConcurrencyLimit::cold(slots);
        self.leaving = false;
    }

    /// Decides on an arriving call; the events concern calls that were queued.
    pub fn arrive(&mut self, now: Instant, call: QueuedCall) -> (Decision, Vec<Event>) {
        let (decision, events) = self.decide(now, call);
        if matches!(decision, Decision::Shed(_)) {
            self.shed_count += 1;
        }
        (decision, events)
    }

    fn decide(&mut self, now: Instant, call: QueuedCall) -> (Decision, Vec<Event>) {
        let mut events = Vec::new();
        if self.leaving {
            return (Decision::Shed(Shed::Leaving), events);
        }
        let level = call.priority.level();
        self.update_threshold(now);
        if !call.may_wait && self.is_rate_limited(now) {
            return (Decision::Shed(Shed::Limited), events);
        }
        self.threshold.record_arrival(level);
        if self.misses_deadline(now, call.deadline) {
            return (Decision::Shed(Shed::Deadline), events);
        }
        let protected = self.is_protected(call.priority);
        if level < self.downstream.level(now, level.rank(), protected) {
            return (Decision::Shed(Shed::Downstream), events);
        }
        self.queue.record_arrival(now, &call);
        if self.queue.is_empty() && self.may_start(now) {
            self.start(now, &call);
            return (Decision::Start, events);
        }
        let decision = self.enqueue(now, call, &mut events);
        self.start_queued(now, &mut events);
        (decision, events)
    }

    fn enqueue(&mut self, now: Instant, call: QueuedCall, events: &mut Vec<Event>) -> Decision {
        if self.is_rate_limited(now) {
            return self.enqueue_rate_limited(now, call, events);
        }
        if self.queue.len() >= self.max_queue_len() {
            self.threshold.record_shed();
            match self.queue.make_room(&call) {
                Some(least) => events.push(Event::Shed(least.token, Shed::Overload)),
                None => return Decision::Shed(Shed::Overload),
            }
        }
        let expires = if self.is_protected(call.priority) {
            call.deadline
        } else {
            call.deadline.min(now + MAX_WAIT)
        };
        self.queue.push(now, QueuedCall { expires, ..call });
        Decision::Wait(expires)
    }

    /// Records the end of a call and starts queued calls in the free slots.
    pub fn finish(&mut self, now: Instant, token: CallToken, outcome: Outcome) -> Vec<Event> {
        let mut events = Vec::new();
        let in_flight = self.running.len();
        if let Some(running) = self.running.remove(&token) {
            let latency = now.saturating_duration_since(running.start);
            self.limit.record(now, outcome, latency, in_flight);
            if let Some(charge) = running.charge {
                self.queue.settle(now, charge, running.start, outcome);
            }
        }
        self.update_threshold(now);
        self.start_queued(now, &mut events);
        events
    }

    /// Records the outcomes of the onward calls that a running call made, and
    /// whether that call was answered.
    pub fn record_onward(
        &mut self,
        now: Instant,
        token: CallToken,
        outcomes: &[OnwardOutcome],
        answered: bool,
    ) {
        if let Some(running) = self.running.get(&token) {
            self.downstream
                .record(now, running.level.rank(), outcomes, answered);
        }
    }

    /// Records whether a call failed through a fault of the backend server itself.
    pub fn record_fault(&mut self, faulty: bool) {
        self.fault_rate.record(faulty);
    }

    /// Removes a queued call; a running call is not affected.
    pub fn cancel(&mut self, token: CallToken) {
        self.queue.remove(token);
    }

    /// Sheds queued calls whose wait has expired and starts those that may start.
    pub fn expire(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        for call in self.queue.take_expired(now) {
            events.push(Event::Shed(call.token, self.expiry_reason(now, &call)));
        }
        self.update_threshold(now);
        self.start_queued(now, &mut events);
        events
    }

    fn expiry_reason(&mut self, now: Instant, call: &QueuedCall) -> Shed {
        self.threshold.record_shed();
        if call.deadline <= now {
            Shed::Deadline
        } else if self.throttle.rate().is_some() {
            Shed::Limited
        } else {
            Shed::Overload
        }
    }

    /// Refuses all further calls and sheds the queued ones.
    pub fn leave(&mut self) -> Vec<Event> {
        self.leaving = true;
        self.queue
            .drain()
            .into_iter()
            .map(|call| Event::Shed(call.token, Shed::Leaving))
            .collect()
    }

    /// Accepts calls again after [`Admission::leave`].
    pub fn rejoin(&mut self) {
        self.leaving = false;
    }

    fn update_threshold(&mut self, now: Instant) {
        let backlog = Backlog {
            waiting: self.queue.len(),
            max_waiting: self.max_queue_len(),
            idle: self.queue.is_empty() && self.may_start(now),
            rate_limited: self.throttle.rate().is_some(),
        };
        self.threshold.tick(now, backlog);
    }

    /// Returns whether a slot is free and the requested rate lets a call start.
    fn may_start(&self, now: Instant) -> bool {
        self.running.len() < self.limit.get() && self.throttle.is_open(now)
    }

    pub(super) fn is_protected(&self, priority: Priority) -> bool {
        self.protected.is_some_and(|rank| priority.rank() <= rank)
    }

    fn max_queue_len(&self) -> usize {
        let latency = self
            .limit
            .latency()
            .unwrap_or(QUEUE_DRAIN_TIME)
            .as_secs_f64();
        let share = QUEUE_DRAIN_TIME.as_secs_f64() / latency.max(1e-6);
        let share = share.clamp(*QUEUE_RATIO.start(), *QUEUE_RATIO.end());
        let bound = (self.limit.get() as f64 * share) as usize;
        bound.min(self.rate_queue_len()).max(MIN_QUEUE_LEN)
    }

    fn misses_deadline(&self, now: Instant, deadline: Instant) -> bool {
        let left = deadline.saturating_duration_since(now);
        left.is_zero() || left < self.min_run_time()
    }

    /// Returns the least time that a started call is expected to take: half of the
    /// mean latency.
    pub(super) fn min_run_time(&self) -> Duration {
        self.limit.latency().unwrap_or_default().mul_f64(0.5)
    }

    fn start(&mut self, now: Instant, call: &QueuedCall) {
        self.threshold.record_start();
        self.throttle.record_start(now);
        self.start_count += 1;
        let running = RunningCall {
            start: now,
            level: call.priority.level(),
            charge: self.queue.charge(call),
        };
        self.running.insert(call.token, running);
    }

    fn start_queued(&mut self, now: Instant, events: &mut Vec<Event>) {
        while self.may_start(now) {
            let Some(call) = self.queue.pop_first() else {
                return;
            };
            if self.misses_deadline(now, call.deadline) {
                self.threshold.record_shed();
                events.push(Event::Shed(call.token, Shed::Deadline));
                continue;
            }
            self.start(now, &call);
            events.push(Event::Start(call.token));
        }
    }
}
