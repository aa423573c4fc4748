//! Claims of keys that carry no mint time.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::model::{Instance, OnceKey, ServiceName};

/// Tells one try to claim a key from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// The content of a claim row: the only instance that may start the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who may start the key.
    pub owner: Instance,
    /// The try that wrote the row.
    pub nonce: Nonce,
}

/// What a claim row says to an instance that tried to write it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimCheck {
    /// This try wrote it; the call has never been started.
    Won,
    /// An earlier try of the same instance wrote it; the ledger knows more.
    OwnEarlier,
    /// Another instance owns the key.
    Other(Instance),
}

/// Returns the name of the row that claims `key` at `service`.
pub fn claim_row_key(service: &ServiceName, key: &OnceKey) -> String {
    format!(
        "claim/{service}/{:032x}",
        xxh3_128(key.to_string().as_bytes())
    )
}

/// Reads what a claim row that is present says to `own`.
pub fn check_claim(found: Claim, own: Instance, nonce: Nonce) -> ClaimCheck {
    if found.owner != own {
        ClaimCheck::Other(found.owner)
    } else if found.nonce == nonce {
        ClaimCheck::Won
    } else {
        ClaimCheck::OwnEarlier
    }
}
