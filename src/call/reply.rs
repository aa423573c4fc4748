//! A backend server's answer on its way back.

use http::{HeaderMap, StatusCode};

use crate::model::{GuardStatus, Retries};
use crate::web::Payload;

/// What travels with an answer besides its body.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// Retries that come home.
    pub returned_retries: Retries,
    /// What the guard tells of itself.
    pub guard_status: GuardStatus,
    /// Whether the backend server made calls onwards for it.
    pub made_calls: bool,
    /// Whether the answer was kept from an earlier run of the same key.
    pub from_store: bool,
}

/// An answer with its body.
#[derive(Debug)]
pub struct Reply {
    /// All but the body.
    pub head: ReplyHead,
    /// The body.
    pub body: Payload,
}
