//! The retries of one request, shared by its whole tree of calls.

use std::collections::BTreeMap;

use crate::model::Retries;

/// Names a loan within one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId(u64);

/// Retries that travel with one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryGrant {
    /// The name under which the rest comes home.
    pub id: GrantId,
    /// How many retries the attempt may use in its own tree.
    pub retries: Retries,
}

/// Holds the retries that one call and all calls below it may still use.
///
/// Retries are never made here: what is lent leaves the account, what comes
/// home is at most what was lent and comes home once. So the total over a
/// tree never passes what the first account was opened with, whatever is
/// lost, repeated or made at the same time.
#[derive(Debug)]
pub struct RetryAccount {
    left: u32,
    grants: BTreeMap<GrantId, u32>,
    next_id: u64,
    used: u32,
}

impl RetryAccount {
    /// Opens an account.
    pub fn new(retries: Retries) -> Self {
        Self {
            left: retries.get(),
            grants: BTreeMap::new(),
            next_id: 0,
            used: 0,
        }
    }

    /// Returns what can be spent or lent now.
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

    /// Lends retries to an attempt: three quarters of a large account, all but
    /// one of a small one, or the only one.
    ///
    /// What stays is for the case that the attempt is lost together with its
    /// loan, and for attempts that are made at the same time. The rest goes
    /// down, since a failure is cheapest to retry where it is met.
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

    /// Takes home what an attempt did not use; a repeat changes nothing.
    pub fn reclaim(&mut self, id: GrantId, unused: Retries) {
        if let Some(granted) = self.grants.remove(&id) {
            self.left += unused.get().min(granted);
        }
    }

    /// Gives up a loan whose attempt was lost; what it lent stays spent.
    pub fn discard(&mut self, id: GrantId) {
        self.grants.remove(&id);
    }

    /// Closes the account and returns what goes home to the one above.
    ///
    /// Loans that are still out are not part of it.
    pub fn close(&mut self) -> Retries {
        self.grants.clear();
        Retries::new(std::mem::take(&mut self.left))
    }
}
