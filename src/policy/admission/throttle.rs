//! The rate of calls that an overloaded backend server has requested.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{Rate, RequestedRate};

/// Size of a burst after a pause, as time at the requested rate; callers arrive in
/// clusters.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Least size of a burst.
const MIN_BURST_CALLS: f64 = 1.0;
/// Calls a second that are sent to a server that requests fewer or none: without
/// any answer the end of its overload would go unnoticed.
const MIN_CALL_RATE: f64 = 0.5;

/// The rate that the present run of the server requested last.
#[derive(Clone, Copy, Debug)]
struct RateState {
    rate: Rate,
    /// When it was received.
    reported_at: Instant,
    /// Calls that could start at `credited_at`.
    credit: f64,
    /// When `credit` was computed.
    credited_at: Instant,
}

/// Limits calls to the rate that a backend server has requested.
///
/// A lower rate applies at once. A higher one, or the end of the limit, is accepted
/// only from an answer to a call that was sent after the present rate was received,
/// since answers may arrive out of order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    state: Option<RateState>,
    /// Whether the present run itself has reported a rate or the lack of one.
    has_report: bool,
}

impl Throttle {
    /// Returns the rate in force, if any.
    pub fn rate(&self) -> Option<Rate> {
        self.state.map(|state| state.rate)
    }

    /// Records the rate in the answer to a call that was sent at `sent`; returns
    /// whether the rate in force changes.
    ///
    /// An unreadable rate is ignored.
    pub fn record(&mut self, now: Instant, sent: Instant, rate: RequestedRate) -> bool {
        self.has_report |= rate != RequestedRate::Unreadable;
        let is_newer = self.state.is_none_or(|state| sent >= state.reported_at);
        match (rate, self.rate()) {
            (RequestedRate::Some(rate), None) => self.set_rate(now, rate),
            (RequestedRate::Some(rate), Some(last)) if rate < last || rate > last && is_newer => {
                self.set_rate(now, rate);
            }
            (RequestedRate::None, Some(_)) if is_newer => self.state = None,
            (RequestedRate::Some(_) | RequestedRate::None | RequestedRate::Unreadable, _) => {
                return false;
            }
        }
        true
    }

    /// Applies a rate that another daemon relayed, unless the server itself has
    /// reported already; returns whether the rate in force changes.
    pub fn adopt(&mut self, now: Instant, rate: Rate) -> bool {
        let is_new = !self.has_report && self.state.is_none();
        if is_new {
            self.set_rate(now, rate);
        }
        is_new
    }

    /// Discards the rate of an earlier run of the server.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    fn set_rate(&mut self, now: Instant, rate: Rate) {
        let credit = self.credit(now).unwrap_or_default();
        self.state = Some(RateState {
            rate,
            reported_at: now,
            credit: credit.min(max_credit(rate)),
            credited_at: now,
        });
    }

    /// Returns the calls that may start now, if a rate is in force.
    fn credit(&self, now: Instant) -> Option<f64> {
        let state = self.state?;
        let since = now.saturating_duration_since(state.credited_at);
        let grown = state.credit + since.as_secs_f64() * call_rate(state.rate);
        Some(grown.min(max_credit(state.rate)))
    }

    /// Returns whether a call may start now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.credit(now).is_none_or(|credit| credit >= 1.0)
    }

    /// Records a starting call.
    pub fn record_start(&mut self, now: Instant) {
        let Some(credit) = self.credit(now) else {
            return;
        };
        if let Some(state) = &mut self.state {
            state.credit = (credit - 1.0).max(0.0);
            state.credited_at = now;
        }
    }

    /// Returns how long a call waits behind `ahead` others.
    pub fn delay(&self, now: Instant, ahead: usize) -> Duration {
        let (Some(state), Some(credit)) = (self.state, self.credit(now)) else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - credit).max(0.0);
        Duration::from_secs_f64(missing / call_rate(state.rate))
    }
}

/// Returns the calls a second that are sent to a server that requests `rate`.
fn call_rate(rate: Rate) -> f64 {
    rate.get().max(MIN_CALL_RATE)
}

/// Returns the size of a burst at `rate`, in calls.
fn max_credit(rate: Rate) -> f64 {
    (call_rate(rate) * BURST_TIME.as_secs_f64()).max(MIN_BURST_CALLS)
}
