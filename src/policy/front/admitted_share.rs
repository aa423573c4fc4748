//! Where the room of a class at a service is heading.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{ClassRank, Level};

/// Memory of what is the case now, and of what was lately: refused callers
/// return within a second or two, so slower changes make no difference to them.
const SHORT_TIME_CONSTANT: Duration = Duration::from_millis(300);
const LONG_TIME_CONSTANT: Duration = Duration::from_millis(1500);
/// Time after which nothing is known of before.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Change of the open share that counts as one; levels swing by as much within
/// a moment.
const MIN_TREND_CHANGE: f64 = 0.05;

/// Where the room of a class is heading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trend {
    /// More of the class is admitted than before.
    Grows,
    /// About as much.
    Steady,
    /// Less of it.
    Shrinks,
}

impl Trend {
    /// Returns the text that stands in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Grows => "grows",
            Self::Steady => "steady",
            Self::Shrinks => "shrinks",
        }
    }
}

/// The share of a class that a service admits, now and lately.
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
    /// Takes note of the level that is demanded of a class.
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

    /// Returns where that share is heading.
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

/// Returns the share of a class that stands at or above a level.
fn share_above(rank: ClassRank, demanded: Level) -> f64 {
    let first = Level::new(rank, 0).index();
    let end = first + Level::STEPS;
    let share = end.saturating_sub(demanded.index().max(first));
    share as f64 / Level::STEPS as f64
}
