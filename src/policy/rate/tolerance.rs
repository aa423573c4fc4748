//! What an estate tolerates of rates that are exceeded.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use crate::declare::Limit;
use crate::error::Error;

/// How the daemons of an estate share the rate of a workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// They borrow credit from the daemon that coordinates the workspace.
    #[default]
    Lent,
    /// Each has the same part for itself; nothing is told between them.
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

/// What an estate tolerates of rates that are exceeded: in any `window`, of the
/// requests that rate and burst allow a share `over` more, and `slack` besides.
///
/// A tenth of the share goes into the rate, and a part of both into credit that may
/// lie ready, so that daemons which hold a little each leave enough for the next one
/// that asks. The rest is kept for what is counted late: credit that a lost
/// coordinator had out, and what daemons take by themselves when cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateTolerance {
    /// The time over which requests are counted; any span of that length.
    pub window: Duration,
    /// Requests beyond the limit, as a share of it.
    pub excess: f64,
    /// Requests beyond that, in one window.
    pub slack: f64,
    /// How the daemons share a rate.
    pub sharing: Sharing,
}

/// The parts of what is tolerated that go into the rate, and into the credit
/// that may lie ready.
const RATE_FRACTION: f64 = 0.1;
const CAPACITY_FRACTION: f64 = 0.15;
/// The part of the slack that a bucket begins with which knows nothing.
const INITIAL_FRACTION: f64 = 0.25;

impl Default for RateTolerance {
    /// Nothing is tolerated but ten requests of slack.
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
    /// Returns the credit a second of a limit.
    pub(super) fn rate(&self, limit: Limit) -> f64 {
        limit.rate.get() * (1.0 + self.excess * RATE_FRACTION)
    }

    /// Returns the most credit that may lie ready for a limit.
    pub(super) fn capacity(&self, limit: Limit) -> f64 {
        let burst = f64::from(limit.burst) * (1.0 + self.excess);
        let in_window = limit.rate.get() * self.window.as_secs_f64();
        burst + CAPACITY_FRACTION * (in_window * self.excess + self.slack)
    }

    /// Returns the credit of a bucket that knows nothing of what was there
    /// before it, such as after its daemon's start.
    pub(super) fn initial_credit(&self) -> f64 {
        (self.slack * INITIAL_FRACTION).max(1.0)
    }
}
