//! Crash suspects in the peer protocol.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::generated as wire;
use super::id::{decode_id, encode_id};
use crate::error::Error;
use crate::model::CrashId;
use crate::policy::crash::{CrashRecord, Suspect};

/// Maximum number of crash records, and of callers, decoded for one suspect.
const MAX_RECORDS: usize = 64;

/// Encodes a suspect.
pub(super) fn encode_suspect(suspect: &Suspect, now: Instant) -> wire::Suspect {
    let age = now
        .saturating_duration_since(suspect.last_crash)
        .as_millis();
    wire::Suspect {
        asked: encode_id(suspect.digest),
        strikes: suspect.records.iter().map(encode_record).collect(),
        answered: suspect.answered_callers.iter().copied().collect(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn encode_record(record: &CrashRecord) -> wire::Strike {
    wire::Strike {
        crash: record.crash.get(),
        caller: record.caller,
    }
}

/// Decodes a suspect.
///
/// # Errors
///
/// Fails if its digest does not have 16 bytes.
pub(super) fn decode_suspect(message: &wire::Suspect, now: Instant) -> Result<Suspect, Error> {
    let age = Duration::from_millis(u64::from(message.age_ms));
    let records: BTreeSet<CrashRecord> = message
        .strikes
        .iter()
        .take(MAX_RECORDS)
        .map(|record| CrashRecord {
            crash: CrashId::new(record.crash),
            caller: record.caller,
        })
        .collect();
    Ok(Suspect {
        digest: decode_id(&message.asked)?,
        records,
        answered_callers: message.answered.iter().take(MAX_RECORDS).copied().collect(),
        last_crash: now.checked_sub(age).unwrap_or(now),
    })
}

/// Encodes several suspects.
pub(super) fn encode_suspects(suspects: &[Suspect]) -> Vec<wire::Suspect> {
    let now = Instant::now();
    suspects.iter().map(|s| encode_suspect(s, now)).collect()
}

/// Decodes several suspects, and skips invalid ones.
pub(super) fn decode_suspects(messages: &[wire::Suspect]) -> Vec<Suspect> {
    let now = Instant::now();
    let read = messages.iter().map(|message| decode_suspect(message, now));
    read.filter_map(|suspect| match suspect {
        Ok(suspect) => Some(suspect),
        Err(e) => {
            spdlog::debug!("invalid suspect skipped", kv: { cause = e.to_string().as_str() });
            None
        }
    })
    .collect()
}
