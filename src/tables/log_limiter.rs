//! Rate limit for log lines about single calls.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Kinds of log lines about single calls; each has a budget of its own, so that
/// refusals under overload leave room for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A call that no backend server has received, or whose server answered.
    Refused,
    /// A call without an answer that a backend server may have received.
    Sent,
    /// A call whose caller disconnected before the answer was decided.
    Dropped,
    /// Any call that fails while the daemon is stopping.
    Stopping,
}

/// Log lines per second and per burst.
///
/// In an estate of 13 daemons, the kinds outside a stop are 1560 lines a second, about
/// 500 KB. A stop takes seconds, in which its lines are about 700 KB at most.
#[derive(Clone, Copy, Debug)]
struct Limit {
    lines_per_s: f64,
    burst: f64,
}

const CALL_LIMIT: Limit = Limit {
    lines_per_s: 50.0,
    burst: 200.0,
};
const DROP_LIMIT: Limit = Limit {
    lines_per_s: 20.0,
    burst: 100.0,
};
const STOP_LIMIT: Limit = Limit {
    lines_per_s: 200.0,
    burst: 1000.0,
};

#[derive(Debug)]
struct LineBudget {
    limit: Limit,
    lines: f64,
    refilled_at: Instant,
    suppressed: u64,
}

impl LineBudget {
    fn new(limit: Limit) -> Mutex<Self> {
        Mutex::new(Self {
            limit,
            lines: limit.burst,
            refilled_at: Instant::now(),
            suppressed: 0,
        })
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let age: Duration = now.saturating_duration_since(self.refilled_at);
        let refill = age.as_secs_f64() * self.limit.lines_per_s;
        self.lines = (self.lines + refill).min(self.limit.burst);
        self.refilled_at = now;
        if self.lines < 1.0 {
            self.suppressed += 1;
            return false;
        }
        self.lines -= 1.0;
        true
    }
}

/// Numbers of suppressed lines by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SuppressedLines {
    /// Lines of [`LineKind::Refused`].
    pub refused: u64,
    /// Lines of [`LineKind::Sent`].
    pub sent: u64,
    /// Lines of [`LineKind::Dropped`].
    pub dropped: u64,
    /// Lines of [`LineKind::Stopping`].
    pub stopping: u64,
}

impl SuppressedLines {
    /// Returns the number of lines of all kinds.
    pub const fn total(self) -> u64 {
        self.refused + self.sent + self.dropped + self.stopping
    }
}

/// Token buckets for log lines about single calls, one for each kind.
#[derive(Debug)]
pub struct CallLogLimiter {
    refused: Mutex<LineBudget>,
    sent: Mutex<LineBudget>,
    dropped: Mutex<LineBudget>,
    stopping: Mutex<LineBudget>,
}

impl Default for CallLogLimiter {
    fn default() -> Self {
        Self {
            refused: LineBudget::new(CALL_LIMIT),
            sent: LineBudget::new(CALL_LIMIT),
            dropped: LineBudget::new(DROP_LIMIT),
            stopping: LineBudget::new(STOP_LIMIT),
        }
    }
}

impl CallLogLimiter {
    /// Takes a token for one line; counts the line as suppressed if there is none.
    pub fn try_take(&self, kind: LineKind) -> bool {
        self.budget(kind).lock().try_take(Instant::now())
    }

    /// Returns the numbers of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> SuppressedLines {
        let take = |kind| std::mem::take(&mut self.budget(kind).lock().suppressed);
        SuppressedLines {
            refused: take(LineKind::Refused),
            sent: take(LineKind::Sent),
            dropped: take(LineKind::Dropped),
            stopping: take(LineKind::Stopping),
        }
    }

    const fn budget(&self, kind: LineKind) -> &Mutex<LineBudget> {
        match kind {
            LineKind::Refused => &self.refused,
            LineKind::Sent => &self.sent,
            LineKind::Dropped => &self.dropped,
            LineKind::Stopping => &self.stopping,
        }
    }
}
