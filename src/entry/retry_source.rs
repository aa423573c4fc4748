//! The retry account that a call uses.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::policy::retry::RetryAccount;
use crate::tables::ParentCall;

/// The account that a call uses: its own or that of its parent call.
pub(super) enum RetrySource {
    Own(Mutex<RetryAccount>),
    Parent(Arc<ParentCall>),
}

impl RetrySource {
    pub(super) fn with_account<T>(&self, f: impl FnOnce(&mut RetryAccount) -> T) -> T {
        match self {
            Self::Own(account) => f(&mut account.lock()),
            Self::Parent(parent) => f(&mut parent.account.lock()),
        }
    }
}
