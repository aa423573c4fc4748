//! A request that the entry does not take.

use crate::call::Reason;

/// A request that was not understood.
pub(super) struct Rejection {
    /// Why.
    pub(super) reason: Reason,
    /// What is wrong, for people.
    pub(super) detail: Box<str>,
}

/// Makes one of a reason and what is wrong.
pub(super) fn reject(reason: Reason, detail: impl Into<Box<str>>) -> Rejection {
    Rejection {
        reason,
        detail: detail.into(),
    }
}
