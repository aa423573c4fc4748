//! Ledger entries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::{MintTime, OnceKey};

/// Fixed cost of an entry in bytes, besides its key, headers and body.
pub(super) const ENTRY_COST: usize = 256;
/// Largest answer that is stored in full, in bytes.
pub(super) const MAX_ANSWER_COST: usize = 16 * 1024;

/// An answer stored for repeated calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// The complete body, or `None` if it was too large to store.
    pub body: Option<Bytes>,
}

impl StoredAnswer {
    /// Returns the size of headers and body in bytes.
    pub(super) fn cost(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// The state of a call with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// This instance owns the key and has not started the call.
    Claimed,
    /// The call was sent to the backend server, or is about to be.
    Running,
    /// The call ran and returned this answer.
    Done(StoredAnswer),
    /// The call may have run; its outcome was lost.
    Unknown,
}

/// A ledger's record of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The state of the call.
    pub state: KeyState,
    /// A hash of method, target and body.
    pub body_hash: u64,
    /// The mint time of the key, or when it was first seen.
    pub(super) age: MintTime,
}

/// Returns the bytes that a ledger charges for a key.
///
/// A running call is charged for the largest answer that it may return.
pub(super) fn cost(key: &OnceKey, state: &KeyState) -> usize {
    let key = match key {
        OnceKey::Opaque(text) => text.len(),
        OnceKey::Ticket { .. } | OnceKey::Dated(_) => 0,
    };
    let answer = match state {
        KeyState::Done(answer) => answer.cost(),
        KeyState::Running => MAX_ANSWER_COST,
        KeyState::Claimed | KeyState::Unknown => 0,
    };
    ENTRY_COST + key + answer
}
