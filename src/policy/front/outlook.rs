//! Where the room of a class at a service is heading.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::{ClassRank, Level};

/// Memory of what is the case now, and of what was lately: refused callers
/// return within a second or two, so slower changes make no difference to them.
const NOW: Duration = Duration::from_millis(300);
const LATELY: Duration = Duration::from_millis(1500);
/// Time after which nothing is known of before.
const STALE: Duration = Duration::from_secs(5);
/// Change of the open share that counts as one; levels swing by as much within
/// a moment.
const CHANGE: f64 = 0.05;

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
pub struct Outlook {
    open: f64,
    before: f64,
    seen: Option<Instant>,
}

impl Default for Outlook {
    fn default() -> Self {
        Self {
            open: 1.0,
            before: 1.0,
            seen: None,
        }
    }
}

impl Outlook {
    /// Takes note of the level that is demanded of a class.
    pub fn see(&mut self, now: Instant, rank: ClassRank, demanded: Level) {
        let open = open_share(rank, demanded);
        let age = self.seen.map(|at| now.saturating_duration_since(at));
        self.seen = Some(now);
        match age {
            Some(age) if age < STALE => {
                self.open += (open - self.open) * weight(age, NOW);
                self.before += (open - self.before) * weight(age, LATELY);
            }
            Some(_) | None => (self.open, self.before) = (open, open),
        }
    }

    /// Returns the share of the class that is admitted now.
    pub fn open(&self) -> f64 {
        self.open
    }

    /// Returns where that share is heading.
    pub fn trend(&self) -> Trend {
        let change = self.open - self.before;
        if change > CHANGE {
            Trend::Grows
        } else if change < -CHANGE {
            Trend::Shrinks
        } else {
            Trend::Steady
        }
    }
}

fn weight(age: Duration, memory: Duration) -> f64 {
    1.0 - (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}

/// Returns the share of a class that stands at or above a level.
fn open_share(rank: ClassRank, demanded: Level) -> f64 {
    let first = Level::new(rank, 0).index();
    let end = first + Level::STEPS;
    let open = end.saturating_sub(demanded.index().max(first));
    open as f64 / Level::STEPS as f64
}
