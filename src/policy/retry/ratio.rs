//! Retries of one service as a share of its answered calls.

/// What one retry costs, in tenths of a retry.
const COST: u32 = 10;
/// What one call that is answered earns, in tenths of a retry: when few calls
/// are answered, few are retried.
const EARNED: u32 = 1;
/// Most that can be saved up, which is there at first: ten retries.
const SAVED: u32 = 100;

/// A token bucket that answered calls fill and retries empty.
///
/// It keeps retries from sustaining an overload.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    left: u32,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { left: SAVED }
    }
}

impl Ratio {
    /// Takes note of a call that was answered.
    pub fn answered(&mut self) {
        self.left = (self.left + EARNED).min(SAVED);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.left < COST {
            return false;
        }
        self.left -= COST;
        true
    }
}
