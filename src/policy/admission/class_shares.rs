//! Which classes call a service, learned from the calls that end.

use crate::model::{ClassRank, RankSet};

/// Weight of one call; some twenty calls make up a share.
const CALL_WEIGHT: f32 = 0.05;
/// Share of a class's calls above which the class depends on the service. A few
/// calls are of another class than their parent, which has ended before them.
const FREQUENT_SHARE: f32 = 0.25;
/// Share below which hardly any call of a class makes others.
const RARE_SHARE: f32 = 0.05;

/// The share of each class's calls that called one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassShares {
    shares: [Option<f32>; ClassRank::COUNT],
}

impl ClassShares {
    /// Takes note of a call that ended, and whether it called the service.
    pub(crate) fn record(&mut self, rank: ClassRank, called: bool) {
        let sample = if called { 1.0 } else { 0.0 };
        let share = self.shares[rank.index()].get_or_insert(sample);
        *share += (sample - *share) * CALL_WEIGHT;
    }

    /// Tells whether hardly any call of a class called the service.
    pub(crate) fn is_rare(&self, rank: ClassRank) -> bool {
        self.shares[rank.index()].is_some_and(|share| share < RARE_SHARE)
    }

    /// Returns the classes of which many calls called the service.
    pub(super) fn frequent(&self) -> RankSet {
        let mut frequent = RankSet::default();
        for (place, share) in self.shares.iter().enumerate() {
            let is_frequent = share.is_some_and(|share| share >= FREQUENT_SHARE);
            frequent.set(ClassRank::new(place), is_frequent);
        }
        frequent
    }
}
