//! What a guard tells of itself.

use super::{ClassRank, Level};

/// A set of classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RankSet(u32);

impl RankSet {
    /// Makes a set from one bit for each rank.
    pub const fn from_bits(bits: u32) -> Self {
        Self(bits)
    }

    /// Returns one bit for each rank.
    pub const fn bits(self) -> u32 {
        self.0
    }

    /// Tells whether a rank is in the set.
    pub const fn contains(self, rank: ClassRank) -> bool {
        self.0 & (1 << rank.get()) != 0
    }

    /// Puts a rank in or takes it out.
    pub fn set(&mut self, rank: ClassRank, is_in: bool) {
        let bit = 1 << rank.get();
        if is_in {
            self.0 |= bit;
        } else {
            self.0 &= !bit;
        }
    }
}

/// What a guard tells of itself with each answer and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardNews {
    /// The level below which it sheds.
    pub level: Level,
    /// The level that services further down demand.
    pub below: Level,
    /// The classes of which they demand it.
    pub classes: RankSet,
    /// Calls in flight at its backend server and waiting.
    pub load: u32,
    /// Whether it takes no new calls.
    pub leaving: bool,
}

impl GuardNews {
    /// Returns the level that is demanded of a class.
    pub fn demanded(&self, rank: ClassRank) -> Level {
        if self.classes.contains(rank) {
            self.level.max(self.below)
        } else {
            self.level
        }
    }
}
