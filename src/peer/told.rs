//! What backend servers say of themselves, in the peer protocol.

use std::time::Duration;

use super::generated as wire;
use crate::model::{Rate, RelayedNotice, RunId};

/// Writes what a backend server has said of itself.
pub(super) fn told_out(told: &RelayedNotice) -> wire::Told {
    wire::Told {
        run: told.run.get(),
        limited: told.rate.is_some(),
        rate: told.rate.map_or(0, Rate::as_thousandths),
        leaving: told.leaving,
    }
}

/// Reads what a backend server has said of itself.
pub(super) fn told_in(told: &wire::Told) -> RelayedNotice {
    let rate = Rate::from_thousandths(told.rate);
    RelayedNotice {
        run: RunId::new(told.run),
        rate: told.limited.then_some(rate),
        leaving: told.leaving,
    }
}

/// Writes how long a call waits for room, in whole milliseconds begun.
pub(super) fn room_out(room: Duration) -> u32 {
    let ms = room.as_nanos().div_ceil(1_000_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Reads how long a call waits for room.
pub(super) fn room_in(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
