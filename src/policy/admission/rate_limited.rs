//! Admission to a backend server that has requested a rate of calls.
//!
//! Calls above the rate are refused at once, since other servers may have capacity
//! for them. Calls that no other server took return, and are queued by priority.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::{Admission, Decision, Event, QueuedCall, Shed};
use crate::model::{Rate, RequestedRate};

/// Calls of unprotected classes wait for one part in this many of their time left.
/// Callers' latency objectives are a third to a fifth of their timeout, and a retry
/// by the caller is worth more than an answer past the objective.
const WAIT_DIVISOR: u32 = 4;
/// Calls that may be queued for each call that may run.
const MAX_QUEUE_PER_SLOT: usize = 4;
/// Time in which a full queue should be served. The threshold aims at half of it,
/// well within callers' latency objectives.
const QUEUE_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two checks of the queue.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Spread of the `Retry-After` of refused callers, as a multiple of the time in which
/// the calls before them are served.
const RETRY_SPREAD: std::ops::Range<f64> = 1.0..1.5;

impl Admission {
    /// Records the rate in the answer to a call that was sent at `sent`; returns
    /// whether the rate in force changes.
    pub fn record_rate(&mut self, now: Instant, sent: Instant, rate: RequestedRate) -> bool {
        self.throttle.record(now, sent, rate)
    }

    /// Applies a rate that another daemon relayed; returns whether the rate in force
    /// changes.
    pub fn adopt_rate(&mut self, now: Instant, rate: Rate) -> bool {
        self.throttle.adopt(now, rate)
    }

    /// Returns the requested rate in force, if any.
    pub fn rate(&self) -> Option<Rate> {
        self.throttle.rate()
    }

    /// Returns when to check next for queued calls that the rate lets start.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let waits = self.throttle.rate().is_some() && !self.queue.is_empty();
        waits.then(|| now + self.throttle.delay(now, 0).max(MIN_CHECK_INTERVAL))
    }

    /// Returns how long a call of least importance would wait for the rate.
    pub fn rate_delay(&self, now: Instant) -> Duration {
        match self.throttle.rate() {
            Some(_) => self.throttle.delay(now, self.queue.len()),
            None => Duration::ZERO,
        }
    }

    /// Returns when a caller may retry that was refused for the rate.
    pub fn rate_retry_after<R: Rng>(&self, now: Instant, rng: &mut R) -> Duration {
        self.rate_delay(now).mul_f64(rng.random_range(RETRY_SPREAD))
    }

    /// Returns whether the rate lets no call start now.
    pub(super) fn is_rate_limited(&self, now: Instant) -> bool {
        !self.throttle.is_open(now)
    }

    /// Returns the queue length that the rate allows; unbounded without a rate.
    pub(super) fn rate_queue_len(&self) -> usize {
        let Some(rate) = self.throttle.rate() else {
            return usize::MAX;
        };
        (rate.get() * QUEUE_DRAIN_TIME.as_secs_f64()) as usize
    }

    /// Queues a call if it can start in time, and sheds the calls behind it that no
    /// longer can.
    pub(super) fn enqueue_rate_limited(
        &mut self,
        now: Instant,
        call: QueuedCall,
        events: &mut Vec<Event>,
    ) -> Decision {
        let latest = self.latest_start(now, &call);
        let ahead = self.queue.count_ahead(call.priority);
        let is_full = self.queue.len() >= self.limit.get() * MAX_QUEUE_PER_SLOT;
        if is_full || now + self.throttle.delay(now, ahead) > latest {
            self.threshold.record_shed();
            return Decision::Shed(Shed::Limited);
        }
        let expires = latest;
        self.queue.push(now, QueuedCall { expires, ..call });
        loop {
            let last = now + self.throttle.delay(now, self.queue.len().saturating_sub(1));
            let Some(late) = self.queue.pop_least_if(|call| last > call.expires) else {
                return Decision::Wait(latest);
            };
            self.threshold.record_shed();
            events.push(Event::Shed(late.token, Shed::Limited));
        }
    }

    /// Returns when a call has to start at the latest.
    fn latest_start(&self, now: Instant, call: &QueuedCall) -> Instant {
        let left = call.deadline.saturating_duration_since(now);
        let spare = left.saturating_sub(self.min_run_time());
        if self.is_protected(call.priority) {
            now + spare
        } else {
            now + spare / WAIT_DIVISOR
        }
    }
}
