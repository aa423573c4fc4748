//! Event counts in a sliding window.

use std::time::Duration;

use tokio::time::Instant;

/// Number of parts of a window; events expire one part at a time.
const PART_COUNT: usize = 20;
/// Shortest time over which a rate is computed, so that a few calls at the start
/// do not appear as a high rate.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);

/// Counts the events in a sliding window.
#[derive(Clone, Debug)]
pub(super) struct EventWindow {
    part_length: Duration,
    first_event: Option<Instant>,
    newest_part: u64,
    counts: [u32; PART_COUNT],
}

impl EventWindow {
    pub(super) fn new(length: Duration) -> Self {
        Self {
            part_length: (length / PART_COUNT as u32).max(Duration::from_millis(1)),
            first_event: None,
            newest_part: 0,
            counts: [0; PART_COUNT],
        }
    }

    /// Counts one event.
    pub(super) fn add(&mut self, now: Instant) {
        let first = *self.first_event.get_or_insert(now);
        self.advance(first, now);
        self.counts[self.newest_part as usize % PART_COUNT] += 1;
    }

    /// Returns the mean rate in events per second, over the window or over the
    /// time since the first event if that is shorter.
    pub(super) fn rate(&mut self, now: Instant) -> f64 {
        let Some(first) = self.first_event else {
            return 0.0;
        };
        self.advance(first, now);
        let sum: u32 = self.counts.iter().sum();
        let length = self.part_length * PART_COUNT as u32;
        let time = now.saturating_duration_since(first).min(length);
        f64::from(sum) / time.max(MIN_RATE_TIME).as_secs_f64()
    }

    fn advance(&mut self, first: Instant, now: Instant) {
        let age = now.saturating_duration_since(first).as_nanos();
        let part = u64::try_from(age / self.part_length.as_nanos()).unwrap_or(u64::MAX);
        let passed_parts = part.saturating_sub(self.newest_part);
        for step in 1..=passed_parts.min(PART_COUNT as u64) {
            self.counts[(self.newest_part + step) as usize % PART_COUNT] = 0;
        }
        // Parts that were skipped hold no events.
        self.newest_part = self.newest_part.max(part);
    }
}
