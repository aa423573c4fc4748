//! Claims on keys that carry no mint time.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::model::{Instance, OnceKey, ServiceName};

/// Identifies one attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// The content of a claim row, which names the owner of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The only instance that may start the key.
    pub owner: Instance,
    /// The attempt that wrote the row.
    pub nonce: Nonce,
}

/// The result of a claim attempt, by the row that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimCheck {
    /// This attempt wrote the row; the call has never been started.
    Won,
    /// An earlier attempt of the same instance wrote it; the ledger has the state.
    OwnEarlier,
    /// Another instance owns the key.
    Other(Instance),
}

/// Returns the key of the claim row for `key` at `service`.
pub fn claim_row_key(service: &ServiceName, key: &OnceKey) -> String {
    format!(
        "claim/{service}/{:032x}",
        xxh3_128(key.to_string().as_bytes())
    )
}

/// Compares a claim row that was found with the attempt of `own`.
pub fn check_claim(found: Claim, own: Instance, nonce: Nonce) -> ClaimCheck {
    if found.owner != own {
        ClaimCheck::Other(found.owner)
    } else if found.nonce == nonce {
        ClaimCheck::Won
    } else {
        ClaimCheck::OwnEarlier
    }
}
