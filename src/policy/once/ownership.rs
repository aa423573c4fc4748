//! The home row of a service: which instance may start which dated keys.

use serde::{Deserialize, Serialize};

use super::Interval;
use crate::model::{Instance, MintTime, OnceKey};

/// Slots into which the keys of a service are hashed.
pub const SLOTS: usize = 64;

/// Who may start a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This instance and no other, for good.
    Instance(Instance),
    /// Nobody yet; the mint time is past the end of the last interval.
    NotYet,
    /// Nobody, and never: the mint time lies before all intervals or between
    /// two of them.
    Never,
    /// It is no longer known; the key is older than the row's memory.
    Forgotten,
}

/// One row of the table service per service, changed by conditional write.
///
/// Intervals of a slot are disjoint and in order. An interval is never given
/// to another instance and never made shorter, except by its own owner. So
/// any state of the row that an owner has read stays true for what it owns,
/// however old it is: safety rests on no clock, lease or view.
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
    /// Reads a row from the platform.
    ///
    /// # Errors
    ///
    /// Fails if the content is no home row.
    pub fn decode(content: &[u8]) -> Result<Self, serde_json::Error> {
        let row: Self = serde_json::from_slice(content)?;
        if row.slots.len() != SLOTS {
            return Err(serde::de::Error::custom("wrong number of slots"));
        }
        Ok(row)
    }

    /// Writes the row for the platform.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the slot of a key.
    pub fn slot(key: &OnceKey) -> usize {
        (key.hash() % SLOTS as u64) as usize
    }

    /// Tells who may start a key minted at `mint`.
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

    /// Returns the slots to change them; see the type for what must hold.
    pub(super) fn slots_mut(&mut self) -> &mut [Vec<Interval>] {
        &mut self.slots
    }

    /// Drops what ended before `time`; keys minted earlier are refused.
    pub(super) fn forget(&mut self, time: MintTime) {
        self.forgotten = self.forgotten.max(time.as_millis());
        for slot in &mut self.slots {
            slot.retain(|interval| interval.until > time);
        }
    }

    /// Tells whether `later` keeps every promise that this row made to
    /// instances other than `writer`.
    pub fn allows(&self, later: &Self, writer: Instance) -> bool {
        let kept = |slot: usize, interval: &Interval| {
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
            .all(|(slot, intervals)| intervals.iter().all(|i| kept(slot, i)))
            && later.is_ordered()
    }

    fn is_ordered(&self) -> bool {
        self.slots.iter().all(|intervals| {
            intervals.iter().all(|i| i.from < i.until)
                && intervals.windows(2).all(|w| w[0].until <= w[1].from)
        })
    }
}
