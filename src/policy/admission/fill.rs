//! The number of a backend server's slots that are used.

use crate::model::Slots;

/// Share of the slots that is used. Some servers take 1.3 times as long per call
/// once more than 95 in 100 of their slots are taken: the last slots cost them a
/// fifth of their capacity. On other servers unused slots cost at most their own
/// share.
const USED_SHARE: f64 = 0.949;
/// Slots below which all are used, since a single slot is a larger share than the
/// one that would be left free.
const MIN_PARTIAL_SLOTS: u32 = 17;

/// Returns how many of a backend server's slots to use.
pub fn usable_slots(slots: Slots) -> Slots {
    if slots.get() < MIN_PARTIAL_SLOTS {
        return slots;
    }
    Slots::new((f64::from(slots.get()) * USED_SHARE) as u32)
}
