//! The status that a guard reports to entries.

use std::time::Duration;

use super::{ClassRank, Level, Percent, RelayedNotice};

/// A set of classes, by their ranks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RankSet(u32);

impl RankSet {
    /// Creates a set from its bits, one for each rank.
    pub const fn from_bits(bits: u32) -> Self {
        Self(bits)
    }

    /// Returns the bits of the set, one for each rank.
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

    /// Returns whether a rank is in the set.
    pub const fn contains(self, rank: ClassRank) -> bool {
        self.0 & (1 << rank.get()) != 0
    }

    /// Adds or removes a rank.
    pub fn set(&mut self, rank: ClassRank, included: bool) {
        let bit = 1 << rank.get();
        if included {
            self.0 |= bit;
        } else {
            self.0 &= !bit;
        }
    }
}

/// The levels that calls to a service must reach there and further down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandedLevels {
    /// The level below which the service itself sheds.
    pub level: Level,
    /// The level that services further down the call tree demand.
    pub downstream: Level,
    /// The classes that the downstream level applies to.
    pub downstream_classes: RankSet,
}

impl DemandedLevels {
    /// Returns the level that calls of a class must reach.
    pub fn of(&self, rank: ClassRank) -> Level {
        if self.downstream_classes.contains(rank) {
            self.level.max(self.downstream)
        } else {
            self.level
        }
    }
}

/// The status that a guard reports with each answer and refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardStatus {
    /// The levels that it demands of calls.
    pub demand: DemandedLevels,
    /// Calls in flight at its backend server plus calls in the wait queue.
    pub load: u32,
    /// Share of calls that fail through the backend server's own fault.
    pub fault_share: Percent,
    /// Whether it accepts no new calls.
    pub leaving: bool,
    /// What its backend server last reported, if anything.
    pub notice: Option<RelayedNotice>,
    /// How long a call waits there because of the rate that its server requested.
    pub rate_delay: Duration,
}
