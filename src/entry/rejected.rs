//! A request that the entry does not take.

use crate::call::Reason;

/// A request that was not understood.
pub(super) struct Rejected {
    /// Why.
    pub(super) reason: Reason,
    /// What is wrong, for people.
    pub(super) detail: Box<str>,
}

/// Makes one of a reason and what is wrong.
pub(super) fn rejected(reason: Reason, detail: impl Into<Box<str>>) -> Rejected {
    Rejected {
        reason,
        detail: detail.into(),
    }
}
