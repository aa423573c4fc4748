//! What an entry has heard of a level elsewhere.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// How long a level holds in full after it was heard.
const FRESH_TIME: Duration = Duration::from_millis(150);
/// Time in which an older level falls by one class.
const CLASS_DECAY_TIME: Duration = Duration::from_millis(100);

/// The last level heard, which falls as it ages.
///
/// When nothing is sent, no answers bring news; ageing lets calls through
/// again by itself, the most important first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastLevel {
    last: Option<(Level, Instant)>,
}

impl LastLevel {
    /// Takes note of a level.
    pub fn record(&mut self, now: Instant, level: Level) {
        self.last = Some((level, now));
    }

    /// Tells whether a level was heard so lately that it holds in full.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|(_, at)| now.saturating_duration_since(at) <= FRESH_TIME)
    }

    /// Returns the level that holds for a call. For protected classes only
    /// fresh news counts, since older news may refuse them while less important
    /// work is admitted again.
    pub fn level(&self, now: Instant, protected: bool) -> Level {
        let Some((level, at)) = self.last else {
            return Level::OPEN;
        };
        let age = now.saturating_duration_since(at);
        if age <= FRESH_TIME {
            return level;
        }
        if protected {
            return Level::OPEN;
        }
        let classes = (age - FRESH_TIME).as_secs_f64() / CLASS_DECAY_TIME.as_secs_f64();
        let fallen = classes * Level::STEPS as f64;
        Level::from_raw((f64::from(level.get()) - fallen).max(0.0) as u32)
    }
}
