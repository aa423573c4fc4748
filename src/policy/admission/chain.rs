//! The level that services further down a chain impose on this one.

use tokio::time::Instant;

use super::Heard;
use crate::model::{ClassRank, Level};

/// Learns, per class, below which level calls fail further down.
///
/// A call that failed because an onward call was refused raises the level of
/// its class; a call below that level which succeeds lowers it again, so that
/// work that does not depend on the refusing service goes on.
#[derive(Debug)]
pub struct Chain {
    classes: Box<[Heard]>,
}

impl Default for Chain {
    fn default() -> Self {
        Self {
            classes: vec![Heard::default(); ClassRank::COUNT].into(),
        }
    }
}

impl Chain {
    /// Takes note that a call failed since `refused` was demanded further down.
    pub fn failed(&mut self, now: Instant, call: Level, refused: Level) {
        if call < refused {
            self.classes[call.rank().index()].raise(now, refused);
        }
    }

    /// Takes note that a call succeeded.
    pub fn served(&mut self, call: Level) {
        self.classes[call.rank().index()].served(call);
    }

    /// Tells whether a call would be refused further down.
    pub fn refuses(&self, now: Instant, call: Level, protected: bool) -> bool {
        let heard = &self.classes[call.rank().index()];
        let needed = if protected {
            heard.fresh_level(now)
        } else {
            heard.level(now)
        };
        call < needed
    }

    /// Returns the highest level that holds for the class of `call`.
    pub fn level(&self, now: Instant, rank: ClassRank) -> Level {
        self.classes[rank.index()].level(now)
    }
}
