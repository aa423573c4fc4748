//! How many of a backend server's slots are used.

use crate::model::Slots;

/// Share of the slots that is used. Some servers work slower once more than 95
/// in 100 of their slots are taken, by 1.3 on the users' sites: there the last
/// slots cost a fifth of what the server can do, elsewhere leaving them free
/// costs their own share at most.
const USED_SHARE: f64 = 0.949;
/// Slots below which all are used, since one of them is more than the share
/// that would be left free.
const MIN_PARTIAL_SLOTS: u32 = 17;

/// Returns how many of a backend server's slots are used.
pub fn usable_slots(slots: Slots) -> Slots {
    if slots.get() < MIN_PARTIAL_SLOTS {
        return slots;
    }
    Slots::new((f64::from(slots.get()) * USED_SHARE) as u32)
}
