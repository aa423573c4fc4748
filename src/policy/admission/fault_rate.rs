//! The share of calls that fail through a fault of the backend server itself.

use crate::model::Percent;

/// Weight of one call in the moving average, which spans about twenty calls.
const CALL_WEIGHT: f64 = 0.05;

/// The share of calls that a backend server failed although all its onward calls
/// were answered. Refusals don't count: they cost little, and the calls that the
/// server does accept are served.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRate {
    share: f64,
}

impl FaultRate {
    /// Records an ended call.
    pub fn record(&mut self, faulty: bool) {
        let sample = if faulty { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * CALL_WEIGHT;
    }

    /// Returns the share.
    pub fn share(&self) -> Percent {
        Percent::from_share(self.share)
    }
}
