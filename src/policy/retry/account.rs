//! The retries of one request, shared by its whole call tree.

use std::collections::BTreeMap;

use crate::model::Retries;

/// Identifies a grant within one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId(u64);

/// Retries that are sent along with one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryGrant {
    /// Identifies the grant when its unused retries are returned.
    pub id: GrantId,
    /// How many retries the attempt may use in its own call tree.
    pub retries: Retries,
}

/// The retries that one call and all its downstream calls may still use.
///
/// A grant is deducted from the account, and at most the granted number is
/// returned, once. So a call tree never uses more retries than its root call
/// had, even if messages are lost or repeated or calls are made concurrently.
#[derive(Debug)]
pub struct RetryAccount {
    left: u32,
    grants: BTreeMap<GrantId, u32>,
    next_id: u64,
    used: u32,
}

impl RetryAccount {
    /// Creates an account that holds `retries`.
    pub fn new(retries: Retries) -> Self {
        Self {
            left: retries.get(),
            grants: BTreeMap::new(),
            next_id: 0,
            used: 0,
        }
    }

    /// Returns how many retries can be spent or granted now.
    pub fn left(&self) -> Retries {
        Retries::new(self.left)
    }

    /// Returns how many retries were spent here.
    pub fn used(&self) -> Retries {
        Retries::new(self.used)
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.left == 0 {
            return false;
        }
        self.left -= 1;
        self.used += 1;
        true
    }

    /// Grants retries to an attempt: three quarters of a large account, all but
    /// one of a small one, or the only one.
    ///
    /// The remainder is for concurrent attempts, and for another attempt if this
    /// one is lost together with its grant. Most retries are granted downstream,
    /// since a failure is cheapest to retry where it occurs.
    pub fn grant(&mut self) -> RetryGrant {
        let share = match self.left {
            0 => 0,
            1 => 1,
            left @ 2..=4 => left - 1,
            left => left - left / 4,
        };
        self.left -= share;
        let id = GrantId(self.next_id);
        self.next_id += 1;
        self.grants.insert(id, share);
        RetryGrant {
            id,
            retries: Retries::new(share),
        }
    }

    /// Returns the retries that an attempt did not use; a repeat has no effect.
    pub fn reclaim(&mut self, id: GrantId, unused: Retries) {
        if let Some(granted) = self.grants.remove(&id) {
            self.left += unused.get().min(granted);
        }
    }

    /// Discards the grant of a lost attempt; its retries count as spent.
    pub fn discard(&mut self, id: GrantId) {
        self.grants.remove(&id);
    }

    /// Closes the account and returns the retries left, which belong to the
    /// parent call again.
    ///
    /// Outstanding grants are not included.
    pub fn close(&mut self) -> Retries {
        self.grants.clear();
        Retries::new(std::mem::take(&mut self.left))
    }
}
