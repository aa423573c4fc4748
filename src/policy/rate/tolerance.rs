//! How far an estate tolerates that rates are exceeded.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::bucket::DISCONNECT_TIMEOUT;
use crate::declare::RateLimit;
use crate::error::Error;

/// How the daemons of an estate share the rate of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// The coordinator of the workspace grants them credit.
    #[default]
    Lent,
    /// Each uses an equal part of the rate, without communication.
    Equal,
}

impl fmt::Display for Sharing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Lent => "lent",
            Self::Equal => "equal",
        })
    }
}

impl FromStr for Sharing {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "lent" => Ok(Self::Lent),
            "equal" => Ok(Self::Equal),
            _ => Err(Error::value(
                "sharing",
                format!("\"{text}\" must be lent or equal"),
            )),
        }
    }
}

impl<'de> Deserialize<'de> for Sharing {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// How far an estate tolerates that rates are exceeded: in any `window`, the
/// requests that rate and burst allow may be exceeded by the share `excess` of
/// them and by `slack` requests.
///
/// A tenth of the share is added to the rate, and a part of both to the capacity
/// for credit, so that daemons with a little credit each leave enough for the next
/// query. The rest covers what is counted late: outstanding credit of a lost
/// coordinator, and requests that disconnected daemons admit by themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTolerance {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Requests beyond the limit, as a share of it.
    pub excess: f64,
    /// Further requests in one window, beyond the limit and `excess`.
    pub slack: f64,
    /// How the daemons share a rate.
    pub sharing: Sharing,
}

/// The fractions of the tolerance that are added to the rate, and to the capacity
/// for credit.
const RATE_FRACTION: f64 = 0.1;
const CAPACITY_FRACTION: f64 = 0.15;
/// The fraction of the slack with which a new bucket starts.
const INITIAL_FRACTION: f64 = 0.25;
/// The fraction of the slack kept for daemons that admit a whole request on a
/// fraction of one.
const ROUNDING_FRACTION: f64 = 0.5;

impl Default for RateTolerance {
    /// Tolerates ten requests of slack only.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.0,
            slack: 10.0,
            sharing: Sharing::Lent,
        }
    }
}

impl RateTolerance {
    /// Returns the credit per second for a limit.
    pub(super) fn rate(&self, limit: RateLimit) -> f64 {
        limit.rate.get() * (1.0 + self.excess * RATE_FRACTION)
    }

    /// Returns the capacity for unused credit under a limit: the burst, and what
    /// disconnected daemons leave of the tolerance.
    pub(super) fn capacity(&self, limit: RateLimit) -> f64 {
        let in_window = limit.rate.get() * self.window.as_secs_f64();
        let least = CAPACITY_FRACTION * (in_window * self.excess + self.slack);
        let rounding = self.slack * ROUNDING_FRACTION;
        let spare = self.beyond_burst(limit) - self.unreserved(limit) - rounding;
        f64::from(limit.burst) + spare.max(least)
    }

    /// Returns how many requests are tolerated in one window beyond the burst and
    /// what the bucket is refilled with.
    fn beyond_burst(&self, limit: RateLimit) -> f64 {
        let window = self.window.as_secs_f64();
        let burst = f64::from(limit.burst);
        let limited = limit.rate.get() * window + burst;
        limited * (1.0 + self.excess) + self.slack - self.rate(limit) * window - burst
    }

    /// Returns how many requests disconnected daemons can admit at most before the
    /// coordinator reserves their shares, which add up to the rate.
    fn unreserved(&self, limit: RateLimit) -> f64 {
        self.rate(limit) * DISCONNECT_TIMEOUT.as_secs_f64()
    }

    /// Returns the fraction of its share that a disconnected daemon may use until
    /// the coordinator reserves it, so that all of them together stay within what
    /// the capacity leaves of the tolerance.
    pub(super) fn unreserved_fraction(&self, limit: RateLimit) -> f64 {
        let burst = f64::from(limit.burst);
        let left = self.beyond_burst(limit) - (self.capacity(limit) - burst);
        (left / self.unreserved(limit).max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Returns the largest debt of a bucket, which bounds what a wrong report of one
    /// daemon can take from a workspace.
    pub(super) fn max_debt(&self, limit: RateLimit) -> f64 {
        self.capacity(limit) + self.rate(limit) * self.window.as_secs_f64()
    }

    /// Returns the initial credit of a bucket whose earlier grants are unknown,
    /// such as after the start of its daemon.
    pub(super) fn initial_credit(&self) -> f64 {
        (self.slack * INITIAL_FRACTION).max(1.0)
    }
}
