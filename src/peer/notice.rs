//! What backend servers say of themselves, in the peer protocol.

use std::time::Duration;

use super::generated as wire;
use crate::model::{Rate, RelayedNotice, RunId};

/// Writes what a backend server has said of itself.
pub(super) fn encode_notice(notice: &RelayedNotice) -> wire::Told {
    wire::Told {
        run: notice.run.get(),
        limited: notice.rate.is_some(),
        rate: notice.rate.map_or(0, Rate::as_thousandths),
        leaving: notice.leaving,
    }
}

/// Reads what a backend server has said of itself.
pub(super) fn decode_notice(notice: &wire::Told) -> RelayedNotice {
    let rate = Rate::from_thousandths(notice.rate);
    RelayedNotice {
        run: RunId::new(notice.run),
        rate: notice.limited.then_some(rate),
        leaving: notice.leaving,
    }
}

/// Writes how long a call waits for room, in whole milliseconds begun.
pub(super) fn encode_rate_delay(delay: Duration) -> u32 {
    let ms = delay.as_nanos().div_ceil(1_000_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Reads how long a call waits for room.
pub(super) fn decode_rate_delay(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
