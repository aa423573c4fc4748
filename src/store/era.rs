//! Which history of the store its answers are from.

use std::fmt;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Counts how often a store has come back from a copy that was some seconds
/// old. Between two eras it loses what it had acknowledged since the copy, and
/// gives revisions out again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What is known of the eras of one store.
#[derive(Debug)]
pub struct Eras {
    known: Mutex<Option<Era>>,
    restores: watch::Sender<u64>,
}

impl Default for Eras {
    fn default() -> Self {
        Self {
            known: Mutex::default(),
            restores: watch::Sender::new(0),
        }
    }
}

impl Eras {
    /// Takes note of the era of an answer. A higher one than known means that
    /// the store went back; late answers of lower ones mean nothing.
    pub fn record(&self, told: Era) {
        let mut known = self.known.lock();
        let Some(before) = *known else {
            *known = Some(told);
            return;
        };
        if told <= before {
            return;
        }
        *known = Some(told);
        drop(known);
        spdlog::warn!("store went back", kv: { era = told.0, before = before.0 });
        self.restores.send_modify(|times| *times += 1);
    }

    /// Returns a watch over how often the store is known to have gone back.
    pub fn restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }
}
