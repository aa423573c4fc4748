//! Detection of requests that callers themselves repeat.

use std::collections::{HashSet, VecDeque};

/// Most keys that one entry remembers.
const MAX_KEYS: usize = 8192;

/// Recognises a caller's repeat by its attempt header or by its key.
#[derive(Debug, Default)]
pub struct RepeatDetector {
    keys: HashSet<u64>,
    key_order: VecDeque<u64>,
}

impl RepeatDetector {
    /// Returns whether a call is a repeat, and remembers its key.
    ///
    /// `attempt` is the caller's attempt number, starting at 1.
    pub fn check(&mut self, attempt: Option<u32>, key: Option<u64>) -> bool {
        let known = key.is_some_and(|key| !self.record_key(key));
        known || attempt.is_some_and(|n| n > 1)
    }

    fn record_key(&mut self, key: u64) -> bool {
        if !self.keys.insert(key) {
            return false;
        }
        self.key_order.push_back(key);
        if self.key_order.len() > MAX_KEYS
            && let Some(oldest) = self.key_order.pop_front()
        {
            self.keys.remove(&oldest);
        }
        true
    }
}
