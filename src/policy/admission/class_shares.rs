//! The share of each class's calls that make onward calls.

use crate::model::{ClassRank, RankSet};

/// Weight of one call in the moving average, which spans about twenty calls.
const CALL_WEIGHT: f32 = 0.05;
/// Share of a class's calls from which on the class depends on a service. A few
/// calls are attributed to another class than their parent call's, which has ended
/// before them.
const FREQUENT_SHARE: f32 = 0.25;
/// Share below which the calls of a class hardly ever make onward calls.
const RARE_SHARE: f32 = 0.05;

/// The share of each class's calls that make onward calls, to one service or any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassShares {
    shares: [Option<f32>; ClassRank::COUNT],
}

impl ClassShares {
    /// Records an ended call and whether it made such an onward call.
    pub(crate) fn record(&mut self, rank: ClassRank, called: bool) {
        let sample = if called { 1.0 } else { 0.0 };
        let share = self.shares[rank.index()].get_or_insert(sample);
        *share += (sample - *share) * CALL_WEIGHT;
    }

    /// Returns whether the calls of a class hardly ever make such onward calls.
    pub(crate) fn is_rare(&self, rank: ClassRank) -> bool {
        self.shares[rank.index()].is_some_and(|share| share < RARE_SHARE)
    }

    /// Returns the classes that often make such onward calls.
    pub(super) fn frequent(&self) -> RankSet {
        let mut frequent = RankSet::default();
        for (place, share) in self.shares.iter().enumerate() {
            let is_frequent = share.is_some_and(|share| share >= FREQUENT_SHARE);
            frequent.set(ClassRank::new(place), is_frequent);
        }
        frequent
    }
}
