//! Rate limit for log lines about single calls.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Log lines about single calls, per second and per burst. In an estate of 13
/// daemons this is 650 lines a second, about 200 KB.
const LINES_PER_S: f64 = 50.0;
const LINES_BURST: f64 = 200.0;

#[derive(Debug)]
struct LineBudget {
    lines: f64,
    refilled_at: Instant,
    suppressed: u64,
}

/// A token bucket for log lines about single calls.
#[derive(Debug)]
pub struct CallLogLimiter {
    budget: Mutex<LineBudget>,
}

impl Default for CallLogLimiter {
    fn default() -> Self {
        Self {
            budget: Mutex::new(LineBudget {
                lines: LINES_BURST,
                refilled_at: Instant::now(),
                suppressed: 0,
            }),
        }
    }
}

impl CallLogLimiter {
    /// Takes a token for one line; counts the line as suppressed if there is none.
    pub fn try_take(&self) -> bool {
        let now = Instant::now();
        let mut budget = self.budget.lock();
        let age: Duration = now.saturating_duration_since(budget.refilled_at);
        budget.lines = (budget.lines + age.as_secs_f64() * LINES_PER_S).min(LINES_BURST);
        budget.refilled_at = now;
        if budget.lines < 1.0 {
            budget.suppressed += 1;
            return false;
        }
        budget.lines -= 1.0;
        true
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        std::mem::take(&mut self.budget.lock().suppressed)
    }
}
