//! Backoff of refused callers.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use super::{AdmittedShare, Trend};

/// Divisor of a caller's remaining time that gives its longest backoff.
const MAX_BACKOFF_DIVISOR: u32 = 3;
/// Shortest backoff; admission levels hold for about as long.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Admitted share of a class below which hardly any caller who returns at once is
/// served; an answer after the objective is then better than none.
const HOPELESS_SHARE: f64 = 0.125;

/// A refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCaller {
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Longest delay after which an answer can still be within the objective.
    pub slack: Duration,
}

/// Returns a random delay after which a refused caller should return, or `None`
/// if it has too little time left.
///
/// While a return has a chance and can be answered within the objective, the
/// delay allows for that. Otherwise it is long where the admitted share grows or
/// is steady, and shorter where it shrinks.
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
