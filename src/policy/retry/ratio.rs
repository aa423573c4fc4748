//! Limit on the retries of one service as a share of its answered calls.

/// Cost of one retry, in tenths of a retry.
const RETRY_COST: u32 = 10;
/// What one answered call adds, in tenths of a retry: when few calls are
/// answered, few are retried.
const ANSWER_CREDIT: u32 = 1;
/// Capacity and initial content, in tenths of a retry: ten retries.
const MAX_TENTHS: u32 = 100;

/// A token bucket that answered calls fill and retries empty, so that retries
/// cannot sustain an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryRatio {
    tenths: u32,
}

impl Default for RetryRatio {
    fn default() -> Self {
        Self { tenths: MAX_TENTHS }
    }
}

impl RetryRatio {
    /// Records an answered call.
    pub fn record_answer(&mut self) {
        self.tenths = (self.tenths + ANSWER_CREDIT).min(MAX_TENTHS);
    }

    /// Takes one retry, if there is one.
    pub fn try_take(&mut self) -> bool {
        if self.tenths < RETRY_COST {
            return false;
        }
        self.tenths -= RETRY_COST;
        true
    }
}
