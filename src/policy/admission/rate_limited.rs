//! Admission to a backend server that has named how many calls a second it takes.
//!
//! Calls that find no room are sent away at once, since other servers may have
//! some. Those that come back since none has wait in the order of importance.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::{Admission, Decision, Event, QueuedCall, Shed};
use crate::model::{NamedRate, Rate};

/// Part of the time left that a call may wait whose class is not protected:
/// callers' objectives are a third to a fifth of what they wait at most, and an
/// answer past them is worth less than the return of the caller.
const WAIT_DIVISOR: u32 = 4;
/// Calls that may wait for each that may run.
const MAX_QUEUE_PER_SLOT: usize = 4;
/// Time that a full queue takes to be served; the level aims at half of it, well
/// within callers' objectives.
const QUEUE_DRAIN_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two looks at calls that wait.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Spread of the time after which refused callers may come back, as a multiple
/// of the time in which those before them are served.
const RETRY_SPREAD: std::ops::Range<f64> = 1.0..1.5;

impl Admission {
    /// Takes what an answer to a call says that was sent at `sent`; returns
    /// whether that changes the rate.
    pub fn record_rate(&mut self, now: Instant, sent: Instant, rate: NamedRate) -> bool {
        self.throttle.record(now, sent, rate)
    }

    /// Takes a rate that another daemon heard of; returns whether it is news.
    pub fn adopt_rate(&mut self, now: Instant, rate: Rate) -> bool {
        self.throttle.adopt(now, rate)
    }

    /// Returns the rate that the backend server named, if it holds.
    pub fn rate(&self) -> Option<Rate> {
        self.throttle.rate()
    }

    /// Returns when calls may start next that wait for the server's rate.
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let waits = self.throttle.rate().is_some() && !self.queue.is_empty();
        waits.then(|| now + self.throttle.delay(now, 0).max(MIN_CHECK_INTERVAL))
    }

    /// Returns how long a call of the least importance waits for the rate.
    pub fn rate_delay(&self, now: Instant) -> Duration {
        match self.throttle.rate() {
            Some(_) => self.throttle.delay(now, self.queue.len()),
            None => Duration::ZERO,
        }
    }

    /// Returns when a caller may come back that the rate left no room for.
    pub fn rate_retry_after<R: Rng>(&self, now: Instant, rng: &mut R) -> Duration {
        self.rate_delay(now).mul_f64(rng.random_range(RETRY_SPREAD))
    }

    /// Tells whether the rate lets no call start now.
    pub(super) fn is_rate_limited(&self, now: Instant) -> bool {
        !self.throttle.is_open(now)
    }

    /// Returns the calls that fill the queue.
    pub(super) fn rate_queue_len(&self) -> usize {
        let Some(rate) = self.throttle.rate() else {
            return usize::MAX;
        };
        (rate.get() * QUEUE_DRAIN_TIME.as_secs_f64()) as usize
    }

    /// Lets a call wait if it can start in time, and sheds those that no longer
    /// can since it goes before them.
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

    /// Returns until when a call may wait.
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
