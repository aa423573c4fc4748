//! When a refused caller should come back.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use super::{AdmittedShare, Trend};

/// Callers stay away for a third of the time that they have left at most.
const MAX_BACKOFF_DIVISOR: u32 = 3;
/// Least time for which a caller is sent away; levels hold for about as long.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Share of a class that is admitted below which hardly anyone is served who
/// returns at once; an answer past its objective is then better than none.
const HOPELESS_SHARE: f64 = 0.125;

/// A caller that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCaller {
    /// The time that it has left.
    pub time_left: Duration,
    /// How long it may stay away for an answer of full use.
    pub slack: Duration,
}

/// Returns for how long a refused caller should stay away, spread at random; or
/// nothing if it has no time left to return in.
///
/// While its return can be answered within the objective and has a chance, it is
/// told to come back in time for that. Else it returns as late as it can, where
/// room grows or stays, and sooner where room shrinks.
pub fn backoff<R: Rng>(
    caller: RefusedCaller,
    admitted: &AdmittedShare,
    rng: &mut R,
) -> Option<Duration> {
    let max_backoff = caller.time_left / MAX_BACKOFF_DIVISOR;
    if max_backoff < MIN_BACKOFF {
        return None;
    }
    let in_time = caller.slack.min(max_backoff);
    let trend = admitted.trend();
    let is_hopeless = admitted.current() < HOPELESS_SHARE && trend != Trend::Shrinks;
    let (base, range) = if in_time >= MIN_BACKOFF && !is_hopeless {
        (in_time, in_time_range(trend))
    } else {
        (max_backoff, late_range(trend))
    };
    let time = base.mul_f64(rng.random_range(range));
    Some(time.max(MIN_BACKOFF))
}

const fn in_time_range(trend: Trend) -> Range<f64> {
    match trend {
        Trend::Grows => 0.6..1.0,
        Trend::Steady => 0.3..1.0,
        Trend::Shrinks => 0.15..0.6,
    }
}

const fn late_range(trend: Trend) -> Range<f64> {
    match trend {
        Trend::Grows | Trend::Steady => 0.5..1.0,
        Trend::Shrinks => 0.2..0.6,
    }
}
