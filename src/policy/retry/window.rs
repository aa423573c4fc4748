//! Counting over the last few seconds.

use std::time::Duration;

use tokio::time::Instant;

/// Parts of a window that are counted apart; one leaves the count at a time.
const PARTS: usize = 20;
/// Shortest time that a rate is taken over, so that a few calls at the start
/// do not look like many a second.
const MIN_TIME: Duration = Duration::from_secs(1);

/// Counts events of the last window.
#[derive(Clone, Debug)]
pub(super) struct Window {
    part: Duration,
    first: Option<Instant>,
    newest: u64,
    counts: [u32; PARTS],
}

impl Window {
    pub(super) fn new(length: Duration) -> Self {
        Self {
            part: (length / PARTS as u32).max(Duration::from_millis(1)),
            first: None,
            newest: 0,
            counts: [0; PARTS],
        }
    }

    /// Counts one event.
    pub(super) fn add(&mut self, now: Instant) {
        let first = *self.first.get_or_insert(now);
        self.advance(first, now);
        self.counts[self.newest as usize % PARTS] += 1;
    }

    /// Returns the mean rate over the window, or over the time since the first
    /// event if that is shorter, in events a second.
    pub(super) fn rate(&mut self, now: Instant) -> f64 {
        let Some(first) = self.first else {
            return 0.0;
        };
        self.advance(first, now);
        let sum: u32 = self.counts.iter().sum();
        let length = self.part * PARTS as u32;
        let time = now.saturating_duration_since(first).min(length);
        f64::from(sum) / time.max(MIN_TIME).as_secs_f64()
    }

    fn advance(&mut self, first: Instant, now: Instant) {
        let age = now.saturating_duration_since(first).as_nanos();
        let place = u64::try_from(age / self.part.as_nanos()).unwrap_or(u64::MAX);
        let past = place.saturating_sub(self.newest);
        for step in 1..=past.min(PARTS as u64) {
            self.counts[(self.newest + step) as usize % PARTS] = 0;
        }
        // Parts that were passed over whole hold nothing.
        self.newest = self.newest.max(place);
    }
}
