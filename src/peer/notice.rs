//! Notices of backend servers in the peer protocol.

use std::time::Duration;

use super::generated as wire;
use crate::model::{Rate, RelayedNotice, RunId};

/// Encodes a notice of a backend server.
pub(super) fn encode_notice(notice: &RelayedNotice) -> wire::Told {
    wire::Told {
        run: notice.run.get(),
        limited: notice.rate.is_some(),
        rate: notice.rate.map_or(0, Rate::as_thousandths),
        leaving: notice.leaving,
    }
}

/// Decodes a notice of a backend server.
pub(super) fn decode_notice(notice: &wire::Told) -> RelayedNotice {
    let rate = Rate::from_thousandths(notice.rate);
    RelayedNotice {
        run: RunId::new(notice.run),
        rate: notice.limited.then_some(rate),
        leaving: notice.leaving,
    }
}

/// Encodes the time that a call waits for the rate, in milliseconds rounded up.
pub(super) fn encode_rate_delay(delay: Duration) -> u32 {
    let ms = delay.as_nanos().div_ceil(1_000_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}

/// Decodes the time that a call waits for the rate.
pub(super) fn decode_rate_delay(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
