//! Admitted share of a class at a service, and its trend.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{ClassRank, Level};

/// Time constants of the current share and of the earlier one. Refused callers
/// return within a second or two, so slower changes make no difference to them.
const SHORT_TIME_CONSTANT: Duration = Duration::from_millis(300);
const LONG_TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Age after which recorded shares are discarded.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Smallest change of the share that counts as a trend; levels fluctuate by as
/// much within a moment.
const MIN_TREND_CHANGE: f64 = 0.05;

/// Trend of the admitted share of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trend {
    /// More of the class is admitted than before.
    Grows,
    /// About as much is admitted.
    Steady,
    /// Less is admitted.
    Shrinks,
}

impl Trend {
    /// Returns the text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Grows => "grows",
            Self::Steady => "steady",
            Self::Shrinks => "shrinks",
        }
    }
}

/// Share of a class that a service admits, now and earlier.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedShare {
    current: f64,
    earlier: f64,
    updated_at: Option<Instant>,
}

impl Default for AdmittedShare {
    fn default() -> Self {
        Self {
            current: 1.0,
            earlier: 1.0,
            updated_at: None,
        }
    }
}

impl AdmittedShare {
    /// Records the level that is demanded of a class.
    pub fn record(&mut self, now: Instant, rank: ClassRank, demanded: Level) {
        let share = share_above(rank, demanded);
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        match age {
            Some(age) if age < MAX_AGE => {
                self.current += (share - self.current) * weight(age, SHORT_TIME_CONSTANT);
                self.earlier += (share - self.earlier) * weight(age, LONG_TIME_CONSTANT);
            }
            Some(_) | None => (self.current, self.earlier) = (share, share),
        }
    }

    /// Returns the share of the class that is admitted now.
    pub fn current(&self) -> f64 {
        self.current
    }

    /// Returns the trend of that share.
    pub fn trend(&self) -> Trend {
        let change = self.current - self.earlier;
        if change > MIN_TREND_CHANGE {
            Trend::Grows
        } else if change < -MIN_TREND_CHANGE {
            Trend::Shrinks
        } else {
            Trend::Steady
        }
    }
}

fn weight(age: Duration, time_constant: Duration) -> f64 {
    1.0 - (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the share of a class that is at or above a level.
fn share_above(rank: ClassRank, demanded: Level) -> f64 {
    let first = Level::new(rank, 0).index();
    let end = first + Level::STEPS;
    let share = end.saturating_sub(demanded.index().max(first));
    share as f64 / Level::STEPS as f64
}
