//! Counts of requests that were dropped, answers that were not sent completely, and late
//! answers of the backend server.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// The names of these metrics and their help texts.
pub const LOSS_NAMES: [(&str, &str); 4] = [
    (
        "bramleymount_requests_dropped_total",
        "requests dropped before their answer was decided, by whether they had been sent to a guard",
    ),
    (
        "bramleymount_answers_unsent_total",
        "answers that were decided but not sent completely",
    ),
    (
        "bramleymount_backend_dropped_total",
        "calls dropped by their caller while the backend server had them",
    ),
    (
        "bramleymount_late_answers_total",
        "answers to earlier requests that the backend server sent late",
    ),
];

/// Requests without an answer, answers without their end, and late answers.
#[derive(Debug, Default)]
pub(super) struct LossCounts {
    dropped_sent: AtomicU64,
    dropped_unsent: AtomicU64,
    unsent_answers: AtomicU64,
    backend_dropped: AtomicU64,
    late_answers: AtomicU64,
}

impl LossCounts {
    pub(super) fn count_dropped(&self, is_sent: bool) {
        let count = if is_sent {
            &self.dropped_sent
        } else {
            &self.dropped_unsent
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unsent_answer(&self) {
        self.unsent_answers.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_backend_dropped(&self) {
        self.backend_dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_late_answers(&self, count: u64) {
        self.late_answers.fetch_add(count, Ordering::Relaxed);
    }

    /// Formats the page.
    pub(super) fn page(&self) -> String {
        let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let [dropped, unsent, at_backend, late] = LOSS_NAMES;
        let mut text = String::new();
        // Writing to a string cannot fail.
        let (name, help) = dropped;
        let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} counter");
        for (sent, count) in [(true, &self.dropped_sent), (false, &self.dropped_unsent)] {
            let _ = writeln!(text, "{name}{{sent=\"{sent}\"}} {}", get(count));
        }
        let others = [
            (unsent, &self.unsent_answers),
            (at_backend, &self.backend_dropped),
            (late, &self.late_answers),
        ];
        for ((name, help), count) in others {
            let _ = writeln!(text, "# HELP {name} {help}\n# TYPE {name} counter");
            let _ = writeln!(text, "{name} {}", get(count));
        }
        text
    }
}
