//! The retry account that a call draws on.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::policy::retry::RetryAccount;
use crate::tables::Held;

/// The account that a call draws on: its parent's or its own.
pub(super) enum Purse {
    Own(Mutex<RetryAccount>),
    Parent(Arc<Held>),
}

impl Purse {
    pub(super) fn with<T>(&self, use_it: impl FnOnce(&mut RetryAccount) -> T) -> T {
        match self {
            Self::Own(account) => use_it(&mut account.lock()),
            Self::Parent(held) => use_it(&mut held.account.lock()),
        }
    }
}
