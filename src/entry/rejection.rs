//! Rejection of invalid requests.

use crate::call::Reason;

/// Why a request is rejected.
pub(super) struct Rejection {
    pub(super) reason: Reason,
    /// What is wrong, as text for people.
    pub(super) detail: Box<str>,
}

pub(super) fn reject(reason: Reason, detail: impl Into<Box<str>>) -> Rejection {
    Rejection {
        reason,
        detail: detail.into(),
    }
}
