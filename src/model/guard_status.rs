//! What a guard tells of itself.

use std::time::Duration;

use super::{ClassRank, Level, Percent, RelayedNotice};

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

    /// Returns the ranks that are in both sets.
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns the ranks that are in either set.
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
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

/// What is demanded of calls to a service, by itself and further down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandedLevels {
    /// The level below which it sheds.
    pub level: Level,
    /// The level that services further down demand.
    pub downstream: Level,
    /// The classes of which they demand it.
    pub downstream_classes: RankSet,
}

impl DemandedLevels {
    /// Returns the level that is demanded of a class.
    pub fn of(&self, rank: ClassRank) -> Level {
        if self.downstream_classes.contains(rank) {
            self.level.max(self.downstream)
        } else {
            self.level
        }
    }
}

/// What a guard tells of itself with each answer and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardStatus {
    /// What is demanded of calls to it.
    pub demand: DemandedLevels,
    /// Calls in flight at its backend server and waiting.
    pub load: u32,
    /// Calls that its backend server fails by itself.
    pub fault_share: Percent,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// What its backend server has said of itself, if anything.
    pub notice: Option<RelayedNotice>,
    /// How long a call waits there for the rate that its server named.
    pub rate_delay: Duration,
}
