//! The attempts at one request, for its log lines.

use std::fmt::Write;
use std::net::SocketAddr;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::call::Reason;

/// One attempt that was sent to a guard.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    target: SocketAddr,
    sent_at: Instant,
    /// Why it failed, once it has.
    failure: Option<Reason>,
}

/// The attempts at one request, in order. They outlive the future that makes them,
/// which may be dropped.
#[derive(Debug, Default)]
pub(super) struct CallTrace(Mutex<Vec<SentAttempt>>);

impl CallTrace {
    /// Records an attempt that is about to be sent.
    pub(super) fn record_sent(&self, target: SocketAddr) {
        self.0.lock().push(SentAttempt {
            target,
            sent_at: Instant::now(),
            failure: None,
        });
    }

    /// Records why the last attempt failed.
    pub(super) fn record_failure(&self, reason: Reason) {
        if let Some(last) = self.0.lock().last_mut() {
            last.failure = Some(reason);
        }
    }

    /// Returns whether an attempt was sent and has not failed.
    pub(super) fn is_open(&self) -> bool {
        let attempts = self.0.lock();
        attempts.last().is_some_and(|last| last.failure.is_none())
    }

    /// Returns the addresses of the guards that attempts were sent to.
    pub(super) fn targets(&self) -> Vec<SocketAddr> {
        let attempts = self.0.lock();
        attempts.iter().map(|attempt| attempt.target).collect()
    }

    /// Formats the attempts for a log line.
    pub(super) fn summary(&self) -> TraceSummary {
        let attempts = self.0.lock();
        let mut summary = TraceSummary::default();
        let Some((last, earlier)) = attempts.split_last() else {
            return summary;
        };
        for attempt in earlier {
            let reason = attempt.failure.map_or("", Reason::as_str);
            // Writing to a string cannot fail.
            let _ = write!(summary.targets, "{} ", attempt.target);
            let _ = write!(summary.earlier, "{reason} ");
        }
        let _ = write!(summary.targets, "{}", last.target);
        summary.earlier.truncate(summary.earlier.trim_end().len());
        summary.sent_ms = last.sent_at.elapsed().as_millis() as u64;
        summary
    }
}

/// The attempts at one request as a log line has them.
#[derive(Debug, Default)]
pub(super) struct TraceSummary {
    /// Addresses of the guards, separated by spaces.
    pub(super) targets: String,
    /// Why all attempts but the last failed, separated by spaces.
    pub(super) earlier: String,
    /// The time since the last attempt was sent, in milliseconds; 0 if there was none.
    pub(super) sent_ms: u64,
}
