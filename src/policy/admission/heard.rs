//! What an entry has heard of a guard's admission level.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// How long a level holds in full after it was heard.
const FRESH: Duration = Duration::from_millis(150);
/// After this long a level is forgotten.
const STALE: Duration = Duration::from_millis(1500);

/// The last level heard, which loses force as it ages.
///
/// When nothing is sent, no answers bring news; ageing lets calls through
/// again by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heard {
    news: Option<(Level, Instant)>,
}

impl Heard {
    /// Takes note of a level.
    pub fn hear(&mut self, now: Instant, level: Level) {
        self.news = Some((level, now));
    }

    /// Raises the level to at least `level` and makes it fresh.
    pub fn raise(&mut self, now: Instant, level: Level) {
        let level = level.max(self.level(now));
        self.hear(now, level);
    }

    /// Takes note that a call of `level` was served.
    pub fn served(&mut self, level: Level) {
        if let Some((heard, _)) = &mut self.news {
            *heard = (*heard).min(level);
        }
    }

    /// Returns the level that holds now.
    pub fn level(&self, now: Instant) -> Level {
        let Some((level, at)) = self.news else {
            return Level::OPEN;
        };
        let age = now.saturating_duration_since(at);
        if age <= FRESH {
            return level;
        }
        if age >= STALE {
            return Level::OPEN;
        }
        let left = (STALE - age).as_secs_f64() / (STALE - FRESH).as_secs_f64();
        // Squared, so that the first steps are the largest in classes and the
        // whole range is open before the news is forgotten.
        let raw = f64::from(level.get()) * left * left;
        Level::from_raw(raw as u32)
    }

    /// Returns the level that holds for protected classes: only fresh news
    /// counts, since older news may refuse them while less important work is
    /// admitted again.
    pub fn fresh_level(&self, now: Instant) -> Level {
        match self.news {
            Some((level, at)) if now.saturating_duration_since(at) <= FRESH => level,
            _ => Level::OPEN,
        }
    }
}
