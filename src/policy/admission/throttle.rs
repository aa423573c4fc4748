//! The rate of calls that a backend server in need takes.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{NamedRate, Rate};

/// Calls that may start at once after a pause, as the time in which the server
/// takes so many; callers come in clumps.
const BURST: Duration = Duration::from_millis(250);
/// Fewest calls that may start at once.
const MIN_BURST: f64 = 1.0;
/// Calls a second that go to a server which takes fewer or none: without any
/// answer nobody hears that the need is over.
const LEAST: f64 = 0.5;

/// What the present run of the server named last.
#[derive(Clone, Copy, Debug)]
struct Named {
    rate: Rate,
    /// When it was heard.
    heard: Instant,
    /// Calls that may start.
    credit: f64,
    /// When the credit was that.
    counted: Instant,
}

/// Bounds the calls a second to a server that has named how many it takes.
///
/// A lower rate holds at once. A higher one, or none, counts only from an answer
/// to a call that was sent after the present rate was heard, since answers
/// overtake each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    named: Option<Named>,
    /// Whether the present run has said anything of it.
    heard: bool,
}

impl Throttle {
    /// Returns the rate that holds, if one was named.
    pub fn rate(&self) -> Option<Rate> {
        self.named.map(|named| named.rate)
    }

    /// Takes what an answer to a call says that was sent at `sent`; returns
    /// whether that changes the rate.
    ///
    /// What is no rate leaves things as they are.
    pub fn record(&mut self, now: Instant, sent: Instant, rate: NamedRate) -> bool {
        self.heard |= rate != NamedRate::Unreadable;
        let is_newer = self.named.is_none_or(|named| sent >= named.heard);
        match (rate, self.rate()) {
            (NamedRate::Some(rate), None) => self.set(now, rate),
            (NamedRate::Some(rate), Some(last)) if rate < last || rate > last && is_newer => {
                self.set(now, rate);
            }
            (NamedRate::None, Some(_)) if is_newer => self.named = None,
            (NamedRate::Some(_) | NamedRate::None | NamedRate::Unreadable, _) => return false,
        }
        true
    }

    /// Takes a rate that another daemon heard of, unless the server itself has
    /// said something since; returns whether that changes the rate.
    pub fn adopt(&mut self, now: Instant, rate: Rate) -> bool {
        let is_new = !self.heard && self.named.is_none();
        if is_new {
            self.set(now, rate);
        }
        is_new
    }

    /// Forgets the rate, which belonged to an earlier run of the server.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    fn set(&mut self, now: Instant, rate: Rate) {
        let credit = self.credit(now).unwrap_or_default();
        self.named = Some(Named {
            rate,
            heard: now,
            credit: credit.min(burst(rate)),
            counted: now,
        });
    }

    /// Returns the calls that may start now, where a rate holds.
    fn credit(&self, now: Instant) -> Option<f64> {
        let named = self.named?;
        let since = now.saturating_duration_since(named.counted);
        let grown = named.credit + since.as_secs_f64() * pace(named.rate);
        Some(grown.min(burst(named.rate)))
    }

    /// Tells whether a call may start now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.credit(now).is_none_or(|credit| credit >= 1.0)
    }

    /// Takes note of a call that starts.
    pub fn start(&mut self, now: Instant) {
        let Some(credit) = self.credit(now) else {
            return;
        };
        if let Some(named) = &mut self.named {
            named.credit = (credit - 1.0).max(0.0);
            named.counted = now;
        }
    }

    /// Returns how long a call waits that `ahead` others go before.
    pub fn wait(&self, now: Instant, ahead: usize) -> Duration {
        let (Some(named), Some(credit)) = (self.named, self.credit(now)) else {
            return Duration::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - credit).max(0.0);
        Duration::from_secs_f64(missing / pace(named.rate))
    }
}

/// Returns the calls a second that go to a server which takes `rate`.
fn pace(rate: Rate) -> f64 {
    rate.get().max(LEAST)
}

fn burst(rate: Rate) -> f64 {
    (pace(rate) * BURST.as_secs_f64()).max(MIN_BURST)
}
