//! The ownership row of a service: which instance owns which dated keys.

use serde::{Deserialize, Serialize};

use super::Interval;
use crate::model::{Instance, MintTime, OnceKey};

/// Number of slots that the keys of a service are hashed into.
pub const SLOTS: usize = 64;

/// The instance that may start a key, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Only this instance, permanently.
    Instance(Instance),
    /// None yet: the mint time is past the end of the last interval.
    NotYet,
    /// None ever: the mint time lies before all intervals or between two.
    Never,
    /// Unknown: the key is older than the row's retention.
    Forgotten,
}

/// A row of the platform's store, one per service, changed by conditional write.
///
/// The intervals of a slot are disjoint and sorted. Only its owner may reassign
/// or shorten an interval, so any version of the row that an owner has read
/// stays valid for what it owns, however old. Safety depends on no clock, lease
/// or membership view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRow {
    slots: Vec<Vec<Interval>>,
    forgotten: u64,
}

impl Default for OwnershipRow {
    fn default() -> Self {
        Self {
            slots: vec![Vec::new(); SLOTS],
            forgotten: 0,
        }
    }
}

impl OwnershipRow {
    /// Parses a row read from the platform's store.
    ///
    /// # Errors
    ///
    /// Fails if the content is not a valid ownership row.
    pub fn decode(content: &[u8]) -> Result<Self, serde_json::Error> {
        let row: Self = serde_json::from_slice(content)?;
        if row.slots.len() != SLOTS {
            return Err(serde::de::Error::custom("wrong number of slots"));
        }
        Ok(row)
    }

    /// Serializes the row for the platform's store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the slot of a key.
    pub fn slot(key: &OnceKey) -> usize {
        (key.hash() % SLOTS as u64) as usize
    }

    /// Returns the owner of a key minted at `mint`.
    pub fn owner(&self, key: &OnceKey, mint: MintTime) -> Owner {
        if mint.as_millis() < self.forgotten {
            return Owner::Forgotten;
        }
        let intervals = &self.slots[Self::slot(key)];
        if let Some(found) = intervals.iter().find(|i| i.contains(mint)) {
            return Owner::Instance(found.owner);
        }
        match intervals.last() {
            Some(last) if mint < last.until => Owner::Never,
            _ => Owner::NotYet,
        }
    }

    /// Returns the intervals of each slot.
    pub fn slots(&self) -> &[Vec<Interval>] {
        &self.slots
    }

    /// Returns the slots for modification; the invariants of the type must hold.
    pub(super) fn slots_mut(&mut self) -> &mut [Vec<Interval>] {
        &mut self.slots
    }

    /// Drops intervals that end at or before `time` and refuses keys minted earlier.
    pub(super) fn forget(&mut self, time: MintTime) {
        self.forgotten = self.forgotten.max(time.as_millis());
        for slot in &mut self.slots {
            slot.retain(|interval| interval.until > time);
        }
    }

    /// Returns whether `later` preserves every interval that this row assigns to
    /// instances other than `writer`.
    pub fn allows(&self, later: &Self, writer: Instance) -> bool {
        let preserved = |slot: usize, interval: &Interval| {
            interval.owner == writer
                || interval.until.as_millis() <= later.forgotten
                || later.slots[slot].iter().any(|new| {
                    new.owner == interval.owner
                        && new.from <= interval.from
                        && new.until >= interval.until
                })
        };
        self.slots
            .iter()
            .enumerate()
            .all(|(slot, intervals)| intervals.iter().all(|i| preserved(slot, i)))
            && later.is_ordered()
    }

    fn is_ordered(&self) -> bool {
        self.slots.iter().all(|intervals| {
            intervals.iter().all(|i| i.from < i.until)
                && intervals.windows(2).all(|w| w[0].until <= w[1].from)
        })
    }
}
