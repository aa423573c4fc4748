//! Retries of one service as a share of its answered calls.

/// Retries earned by one answered call.
const EARNED: f64 = 0.1;
/// Most retries that can be saved up.
const SAVED: f64 = 10.0;

/// A token bucket that calls answered fill and retries empty.
///
/// It keeps retries from sustaining an overload: when few calls are answered,
/// few are retried.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    tokens: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self { tokens: SAVED }
    }
}

impl Ratio {
    /// Takes note of a call that was answered.
    pub fn answered(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
