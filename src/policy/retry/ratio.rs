//! Retries of one service as a share of its answered calls.

/// What one answered call earns, in tenths of a retry.
const EARNED: u32 = 1;
/// What one retry costs, in tenths of a retry.
const COST: u32 = 10;
/// Most that can be saved up, in tenths of a retry.
const SAVED: u32 = 10 * COST;

/// A token bucket that calls answered fill and retries empty.
///
/// It keeps retries from sustaining an overload: when few calls are answered,
/// few are retried.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    tenths: u32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { tenths: SAVED }
    }
}

impl Ratio {
    /// Takes note of a call that was answered.
    pub fn answered(&mut self) {
        self.tenths = (self.tenths + EARNED).min(SAVED);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tenths < COST {
            return false;
        }
        self.tenths -= COST;
        true
    }
}
