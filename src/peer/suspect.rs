//! Suspects of crashes in the peer protocol.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::generated as wire;
use super::id::{id_bytes, id_of};
use crate::error::Error;
use crate::model::CrashId;
use crate::policy::crash::{CrashRecord, Suspect};

/// Most strikes, and callers, that are read of one suspect.
const MAX_PARTS: usize = 64;

/// Writes what is known of a suspect.
pub(super) fn suspect_out(suspect: &Suspect, now: Instant) -> wire::Suspect {
    let age = now
        .saturating_duration_since(suspect.last_crash)
        .as_millis();
    wire::Suspect {
        asked: id_bytes(suspect.digest),
        strikes: suspect.records.iter().map(strike_out).collect(),
        answered: suspect.answered_callers.iter().copied().collect(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn strike_out(strike: &CrashRecord) -> wire::Strike {
    wire::Strike {
        crash: strike.crash.get(),
        caller: strike.caller,
    }
}

/// Reads what another daemon knows of a suspect.
///
/// # Errors
///
/// Fails if its id has another length.
pub(super) fn suspect_in(message: &wire::Suspect, now: Instant) -> Result<Suspect, Error> {
    let age = Duration::from_millis(u64::from(message.age_ms));
    let strikes: BTreeSet<CrashRecord> = message
        .strikes
        .iter()
        .take(MAX_PARTS)
        .map(|strike| CrashRecord {
            crash: CrashId::new(strike.crash),
            caller: strike.caller,
        })
        .collect();
    Ok(Suspect {
        digest: id_of(&message.asked)?,
        records: strikes,
        answered_callers: message.answered.iter().take(MAX_PARTS).copied().collect(),
        last_crash: now.checked_sub(age).unwrap_or(now),
    })
}

/// Writes several suspects.
pub(super) fn suspects_out(suspects: &[Suspect]) -> Vec<wire::Suspect> {
    let now = Instant::now();
    suspects.iter().map(|s| suspect_out(s, now)).collect()
}

/// Reads several suspects; those that cannot be read are passed over.
pub(super) fn suspects_in(messages: &[wire::Suspect]) -> Vec<Suspect> {
    let now = Instant::now();
    let read = messages.iter().map(|message| suspect_in(message, now));
    read.filter_map(|suspect| match suspect {
        Ok(suspect) => Some(suspect),
        Err(e) => {
            spdlog::debug!("suspect not understood", kv: { cause = e.to_string().as_str() });
            None
        }
    })
    .collect()
}
