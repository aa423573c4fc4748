//! The last known level of another guard or service.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// How long a level applies in full after it was received.
const FRESH_TIME: Duration = Duration::from_millis(150);
/// Time in which an older level falls by one class.
const CLASS_DECAY_TIME: Duration = Duration::from_millis(100);

/// The last known level, which falls with age.
///
/// While no calls are sent, no answers bring updates. Ageing lets calls through again,
/// the most important first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastLevel {
    last: Option<(Level, Instant)>,
}

impl LastLevel {
    /// Records a received level.
    pub fn record(&mut self, now: Instant, level: Level) {
        self.last = Some((level, now));
    }

    /// Returns whether a level was received so recently that it applies in full.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|(_, at)| now.saturating_duration_since(at) <= FRESH_TIME)
    }

    /// Returns the level that applies to a call. For protected classes only a fresh
    /// level counts: an older one could refuse them while less important calls are
    /// admitted again.
    pub fn level(&self, now: Instant, protected: bool) -> Level {
        let Some((level, at)) = self.last else {
            return Level::ADMIT_ALL;
        };
        let age = now.saturating_duration_since(at);
        if age <= FRESH_TIME {
            return level;
        }
        if protected {
            return Level::ADMIT_ALL;
        }
        let classes = (age - FRESH_TIME).as_secs_f64() / CLASS_DECAY_TIME.as_secs_f64();
        let fallen = classes * Level::STEPS as f64;
        Level::from_raw((f64::from(level.get()) - fallen).max(0.0) as u32)
    }
}
