//! What a ledger knows of one key.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{MintTime, OnceKey};

/// Bytes that an entry takes besides its key, headers and body.
pub(super) const ENTRY_COST: usize = 256;
/// Largest answer that is kept whole, in bytes.
pub(super) const MAX_KEPT: usize = 16 * 1024;

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status of the answer.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// Its whole body, or `None` if that was too large to keep.
    pub body: Option<Bytes>,
}

impl StoredAnswer {
    pub(super) fn cost(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// This instance may start it and has not yet.
    Claimed,
    /// It was given to the backend server, or will be at once.
    Running,
    /// It ran, and this is its answer.
    Done(StoredAnswer),
    /// It may have run; its outcome was lost.
    Unknown,
}

/// One key of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What is known of it.
    pub state: KeyState,
    /// A hash of method, target and body.
    pub body_hash: u64,
    pub(super) age: MintTime,
}

/// Returns the bytes that a ledger accounts for a key.
pub(super) fn cost(key: &OnceKey, state: &KeyState) -> usize {
    let key = match key {
        OnceKey::Opaque(text) => text.len(),
        OnceKey::Ticket { .. } | OnceKey::Dated(_) => 0,
    };
    let kept = match state {
        KeyState::Done(kept) => kept.cost(),
        KeyState::Running => MAX_KEPT,
        KeyState::Claimed | KeyState::Unknown => 0,
    };
    ENTRY_COST + key + kept
}
