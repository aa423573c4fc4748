//! How many calls a backend server fails by itself.

use crate::model::Percent;

/// Weight of one call; some twenty calls make up the share.
const CALL_WEIGHT: f64 = 0.05;

/// The share of calls that a backend server failed by itself, though all calls
/// that it made onwards were answered. Refusals do not count: they cost little,
/// and the rest of what the server takes is of use.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRate {
    share: f64,
}

impl FaultRate {
    /// Takes note of a call that ended.
    pub fn record(&mut self, faulty: bool) {
        let sample = if faulty { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * CALL_WEIGHT;
    }

    /// Returns the share.
    pub fn share(&self) -> Percent {
        Percent::from_share(self.share)
    }
}
