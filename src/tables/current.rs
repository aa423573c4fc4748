//! The configuration in force at this daemon.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::RwLock;

use crate::declare::{Document, DocumentName, Estate, Manifest, join};
use crate::error::Error;
use crate::model::Version;
use crate::policy::member::{Rollout, VersionDecision};

/// One version of the configuration with its documents.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// The version and the hashes of its documents.
    pub manifest: Manifest,
    /// The documents by name.
    pub documents: BTreeMap<DocumentName, Document>,
    /// The estate that the documents describe.
    pub estate: Estate,
}

/// The configuration in force, which only a later version replaces.
#[derive(Debug, Default)]
pub struct CurrentConfiguration {
    state: RwLock<ActiveState>,
}

#[derive(Debug, Default)]
struct ActiveState {
    rollout: Rollout,
    active: Option<Arc<ActiveConfiguration>>,
}

impl CurrentConfiguration {
    /// Returns the configuration in force, if there is one yet.
    pub fn get(&self) -> Option<Arc<ActiveConfiguration>> {
        self.state.read().active.clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.state.read().rollout.current()
    }

    /// Decides whether an advertised version should be applied.
    pub fn decide(&self, version: Version) -> VersionDecision {
        self.state.read().rollout.decide(version)
    }

    /// Puts a version in force; returns whether it was later than the current one.
    ///
    /// # Errors
    ///
    /// Fails if the documents don't match the manifest or don't describe a valid
    /// estate; the configuration in force then stays.
    pub fn apply(&self, manifest: Manifest, documents: Vec<Document>) -> Result<bool, Error> {
        if Manifest::index(&documents) != manifest.documents {
            let message = "the documents do not match the manifest";
            return Err(Error::value("configuration", message));
        }
        let estate = join(&documents)?;
        let documents = documents.into_iter().map(|d| (d.name.clone(), d)).collect();
        let mut state = self.state.write();
        let newer = state.rollout.advance(manifest.version);
        if newer {
            state.active = Some(Arc::new(ActiveConfiguration {
                manifest,
                documents,
                estate,
            }));
        }
        Ok(newer)
    }
}
