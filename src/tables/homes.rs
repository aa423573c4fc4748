//! Home rows as this daemon knows them.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::RwLock;

use crate::model::ServiceName;
use crate::policy::member::ChangeCount;
use crate::policy::once::OwnershipRow;
use crate::store::Revision;

/// A home row at one revision.
#[derive(Clone, Debug)]
pub struct Home {
    /// The revision of the row.
    pub revision: Revision,
    /// Its content.
    pub row: Arc<OwnershipRow>,
}

#[derive(Debug, Default)]
struct Rows {
    rows: HashMap<ServiceName, (Home, ChangeCount)>,
    change: ChangeCount,
    digest: u64,
}

/// The latest home row known of each service.
#[derive(Debug, Default)]
pub struct Homes {
    inner: RwLock<Rows>,
}

impl Homes {
    /// Returns the row of a service.
    pub fn get(&self, service: &ServiceName) -> Option<Home> {
        let inner = self.inner.read();
        inner.rows.get(service).map(|(home, _)| home.clone())
    }

    /// Takes a row unless a later one is known; returns whether it was taken.
    pub fn take(&self, service: &ServiceName, revision: Revision, row: OwnershipRow) -> bool {
        let mut inner = self.inner.write();
        let old = inner.rows.get(service).map(|(home, _)| home.revision);
        if old.is_some_and(|old| old >= revision) {
            return false;
        }
        if let Some(old) = old {
            inner.digest ^= hash(service, old);
        }
        inner.digest ^= hash(service, revision);
        inner.change = ChangeCount(inner.change.0 + 1);
        let change = inner.change;
        let row = Arc::new(row);
        let home = Home { revision, row };
        inner.rows.insert(service.clone(), (home, change));
        true
    }

    /// Returns the rows taken after `since`, and the count of changes.
    pub fn changed(&self, since: ChangeCount) -> (Vec<(ServiceName, Home)>, ChangeCount) {
        let inner = self.inner.read();
        let rows = inner
            .rows
            .iter()
            .filter(|(_, (_, change))| *change > since)
            .map(|(service, (home, _))| (service.clone(), home.clone()))
            .collect();
        (rows, inner.change)
    }

    /// Returns a digest that is equal for equal sets of rows.
    pub fn digest(&self) -> u64 {
        self.inner.read().digest
    }
}

fn hash(service: &ServiceName, revision: Revision) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{service} {revision}").as_bytes())
}
