//! Repeats that callers themselves make.

use std::collections::{HashSet, VecDeque};

/// Keys that are remembered at one entry.
const REMEMBERED: usize = 8192;

/// Recognises a caller's repeat by its attempt header or a key seen before.
#[derive(Debug, Default)]
pub struct Repeats {
    seen: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Repeats {
    /// Tells whether a call is a repeat, and remembers its key.
    ///
    /// `attempt` is the caller's count of its attempts, from 1.
    pub fn check(&mut self, attempt: Option<u32>, key: Option<u64>) -> bool {
        let known = key.is_some_and(|key| !self.remember(key));
        known || attempt.is_some_and(|n| n > 1)
    }

    fn remember(&mut self, key: u64) -> bool {
        if !self.seen.insert(key) {
            return false;
        }
        self.order.push_back(key);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}
