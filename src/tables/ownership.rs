//! Ownership rows of once calls, as last known to this daemon.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::RwLock;

use crate::model::ServiceName;
use crate::policy::member::ChangeCount;
use crate::policy::once::OwnershipRow;
use crate::store::Revision;

/// An ownership row at one revision.
#[derive(Clone, Debug)]
pub struct StoredOwnership {
    /// The revision of the row.
    pub revision: Revision,
    /// The content of the row.
    pub row: Arc<OwnershipRow>,
}

#[derive(Debug, Default)]
struct KnownRows {
    rows: HashMap<ServiceName, (StoredOwnership, ChangeCount)>,
    change: ChangeCount,
    digest: u64,
}

/// The latest known ownership row of each service.
#[derive(Debug, Default)]
pub struct OwnershipTable {
    known: RwLock<KnownRows>,
}

impl OwnershipTable {
    /// Returns the row of a service.
    pub fn get(&self, service: &ServiceName) -> Option<StoredOwnership> {
        let known = self.known.read();
        known.rows.get(service).map(|(stored, _)| stored.clone())
    }

    /// Stores a row unless a later one is known; returns whether it was stored.
    pub fn update(&self, service: &ServiceName, revision: Revision, row: OwnershipRow) -> bool {
        let mut known = self.known.write();
        let old = known.rows.get(service).map(|(stored, _)| stored.revision);
        if old.is_some_and(|old| old >= revision) {
            return false;
        }
        if let Some(old) = old {
            known.digest ^= row_hash(service, old);
        }
        known.digest ^= row_hash(service, revision);
        known.change = ChangeCount(known.change.0 + 1);
        let change = known.change;
        let row = Arc::new(row);
        let stored = StoredOwnership { revision, row };
        known.rows.insert(service.clone(), (stored, change));
        true
    }

    /// Returns the rows stored after `since`, and the count of changes.
    pub fn changes_since(
        &self,
        since: ChangeCount,
    ) -> (Vec<(ServiceName, StoredOwnership)>, ChangeCount) {
        let known = self.known.read();
        let rows = known
            .rows
            .iter()
            .filter(|(_, (_, change))| *change > since)
            .map(|(service, (stored, _))| (service.clone(), stored.clone()))
            .collect();
        (rows, known.change)
    }

    /// Returns a digest that is equal for equal sets of rows, in any order.
    pub fn digest(&self) -> u64 {
        self.known.read().digest
    }
}

fn row_hash(service: &ServiceName, revision: Revision) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{service} {revision}").as_bytes())
}
