//! A backend server's answer as guard and entry pass it back.

use http::{HeaderMap, StatusCode};

use crate::model::{GuardStatus, Retries};
use crate::web::Payload;

/// All that is sent with an answer except its body.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: StatusCode,
    /// The headers for the caller.
    pub headers: HeaderMap,
    /// Unused retries of the grant.
    pub returned_retries: Retries,
    /// The status of the guard.
    pub guard_status: GuardStatus,
    /// Whether the backend server made onward calls for it.
    pub made_calls: bool,
    /// Whether it is the stored answer of an earlier run with the same key.
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
