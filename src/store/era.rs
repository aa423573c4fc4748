//! Detects from answers that the store was restored from a backup.

use std::fmt;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Counts how often a store was restored from a backup. The backup is some seconds
/// old: a restore loses the writes acknowledged since then, and the store assigns
/// their revisions again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The last known era of one store.
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
    /// Records the era of an answer. A higher era than the known one means that the
    /// store was restored; late answers of lower eras are ignored.
    pub fn record(&self, era: Era) {
        let mut known = self.known.lock();
        let Some(before) = *known else {
            *known = Some(era);
            return;
        };
        if era <= before {
            return;
        }
        *known = Some(era);
        drop(known);
        spdlog::warn!("store restored from a backup", kv: { era = era.0, before = before.0 });
        self.restores.send_modify(|count| *count += 1);
    }

    /// Returns a watch over the number of detected restores.
    pub fn restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }
}
