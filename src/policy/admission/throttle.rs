//! The rate of calls that a backend server in need takes.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{NamedRate, Rate};

/// Calls that may start at once after a pause, as the time in which the server
/// takes so many; callers come in clumps.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Fewest calls that may start at once.
const MIN_BURST_CALLS: f64 = 1.0;
/// Calls a second that go to a server which takes fewer or none: without any
/// answer nobody hears that the need is over.
const MIN_CALL_RATE: f64 = 0.5;

/// What the present run of the server named last.
#[derive(Clone, Copy, Debug)]
struct RateState {
    rate: Rate,
    /// When it was heard.
    reported_at: Instant,
    /// Calls that may start.
    credit: f64,
    /// When the credit was that.
    credited_at: Instant,
}

/// Bounds the calls a second to a server that has named how many it takes.
///
/// A lower rate holds at once. A higher one, or none, counts only from an answer
/// to a call that was sent after the present rate was heard, since answers
/// overtake each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    state: Option<RateState>,
    /// Whether the present run has said anything of it.
    has_report: bool,
}

impl Throttle {
    /// Returns the rate that holds, if one was named.
    pub fn rate(&self) -> Option<Rate> {
        self.state.map(|state| state.rate)
    }

    /// Takes what an answer to a call says that was sent at `sent`; returns
    /// whether that changes the rate.
    ///
    /// What is no rate leaves things as they are.
    pub fn record(&mut self, now: Instant, sent: Instant, rate: NamedRate) -> bool {
        self.has_report |= rate != NamedRate::Unreadable;
        let is_newer = self.state.is_none_or(|state| sent >= state.reported_at);
        match (rate, self.rate()) {
            (NamedRate::Some(rate), None) => self.set_rate(now, rate),
            (NamedRate::Some(rate), Some(last)) if rate < last || rate > last && is_newer => {
                self.set_rate(now, rate);
            }
            (NamedRate::None, Some(_)) if is_newer => self.state = None,
            (NamedRate::Some(_) | NamedRate::None | NamedRate::Unreadable, _) => return false,
        }
        true
    }

    /// Takes a rate that another daemon heard of, unless the server itself has
    /// said something since; returns whether that changes the rate.
    pub fn adopt(&mut self, now: Instant, rate: Rate) -> bool {
        let is_new = !self.has_report && self.state.is_none();
        if is_new {
            self.set_rate(now, rate);
        }
        is_new
    }

    /// Forgets the rate, which belonged to an earlier run of the server.
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

    /// Returns the calls that may start now, where a rate holds.
    fn credit(&self, now: Instant) -> Option<f64> {
        let state = self.state?;
        let since = now.saturating_duration_since(state.credited_at);
        let grown = state.credit + since.as_secs_f64() * call_rate(state.rate);
        Some(grown.min(max_credit(state.rate)))
    }

    /// Tells whether a call may start now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.credit(now).is_none_or(|credit| credit >= 1.0)
    }

    /// Takes note of a call that starts.
    pub fn record_start(&mut self, now: Instant) {
        let Some(credit) = self.credit(now) else {
            return;
        };
        if let Some(state) = &mut self.state {
            state.credit = (credit - 1.0).max(0.0);
            state.credited_at = now;
        }
    }

    /// Returns how long a call waits that `ahead` others go before.
    pub fn delay(&self, now: Instant, ahead: usize) -> Duration {
        let (Some(state), Some(credit)) = (self.state, self.credit(now)) else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - credit).max(0.0);
        Duration::from_secs_f64(missing / call_rate(state.rate))
    }
}

/// Returns the calls a second that go to a server which takes `rate`.
fn call_rate(rate: Rate) -> f64 {
    rate.get().max(MIN_CALL_RATE)
}

fn max_credit(rate: Rate) -> f64 {
    (call_rate(rate) * BURST_TIME.as_secs_f64()).max(MIN_BURST_CALLS)
}
