//! Handover of a ledger to another daemon at a planned stop.

use std::time::Duration;

use http::HeaderMap;

use super::convert::encode_headers;
use super::generated as wire;
use super::pool::Pool;
use crate::error::Error;
use crate::model::{Instance, MintTime, OnceKey};
use crate::policy::once::{KeyState, StoredAnswer};
use crate::tables::Shared;

/// Timeout of one message to the heir.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of entries per message.
const BATCH_ENTRIES: usize = 256;

/// Hands the ledger of this instance, which no longer starts keys, over to
/// `heir`. Returns whether the heir accepted all of it.
pub async fn hand_over(
    shared: &Shared,
    pool: &Pool,
    heir: Instance,
    entries: Vec<(OnceKey, KeyState, u64)>,
    forgotten: MintTime,
) -> bool {
    let Some(mut client) = pool.client(heir.address) else {
        return false;
    };
    let mut messages: Vec<wire::LedgerEntry> = entries.iter().map(encode_entry).collect();
    loop {
        let rest = messages.split_off(messages.len().min(BATCH_ENTRIES));
        let request = wire::HandOverRequest {
            from: shared.instance.to_string(),
            heir: heir.to_string(),
            service: shared.config.service.to_string(),
            entries: messages,
            last: rest.is_empty(),
            forgotten_ms: forgotten.as_millis(),
        };
        let last = request.last;
        let taken = match tokio::time::timeout(HAND_OVER_TIMEOUT, client.hand_over(request)).await {
            Ok(Ok(answer)) => answer.into_inner().taken,
            _ => false,
        };
        if !taken || last {
            return taken;
        }
        messages = rest;
    }
}

fn encode_entry((key, state, hash): &(OnceKey, KeyState, u64)) -> wire::LedgerEntry {
    let mut entry = wire::LedgerEntry {
        once_key: key.to_string(),
        body_hash: *hash,
        ..Default::default()
    };
    match state {
        KeyState::Claimed => entry.state = CLAIMED_STATE.into(),
        KeyState::Running | KeyState::Unknown => entry.state = UNKNOWN_STATE.into(),
        KeyState::Done(stored) => {
            entry.state = DONE_STATE.into();
            entry.status = u32::from(stored.status);
            entry.headers = encode_headers(&stored_headers(stored));
            entry.body = stored.body.clone().unwrap_or_default();
            entry.whole = stored.body.is_some();
        }
    }
    entry
}

const CLAIMED_STATE: &str = "claimed";
const UNKNOWN_STATE: &str = "unknown";
const DONE_STATE: &str = "done";

fn stored_headers(stored: &StoredAnswer) -> HeaderMap {
    stored
        .headers
        .iter()
        .filter_map(|(name, value)| {
            let name = http::HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = http::HeaderValue::from_bytes(value).ok()?;
            Some((name, value))
        })
        .collect()
}

/// Decodes an entry of a ledger.
///
/// # Errors
///
/// Fails if the key or the state is invalid.
pub(super) fn decode_entry(entry: wire::LedgerEntry) -> Result<(OnceKey, KeyState, u64), Error> {
    let key = entry.once_key.parse()?;
    let state = match entry.state.as_str() {
        // A key claimed by the stopping instance cannot be started here, since
        // the claim row names that instance.
        CLAIMED_STATE | UNKNOWN_STATE => KeyState::Unknown,
        DONE_STATE => KeyState::Done(StoredAnswer {
            status: u16::try_from(entry.status).unwrap_or_default(),
            headers: entry
                .headers
                .into_iter()
                .map(|h| (String::from_utf8_lossy(&h.name).into(), h.value))
                .collect(),
            body: entry.whole.then_some(entry.body),
        }),
        other => {
            let message = format!("unknown state \"{other}\"");
            return Err(Error::value("ledger entry", message));
        }
    };
    Ok((key, state, entry.body_hash))
}
