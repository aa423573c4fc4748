//! The manifest of one version of the configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Document, DocumentName, Hash};
use crate::error::Error;
use crate::model::Version;

/// Lists the documents of a version and records who applied it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: Version,
    /// Identifies the change, so that it can be repeated safely if the answer is lost.
    pub change: Box<str>,
    /// Who applied it, as stated in the request.
    pub author: Box<str>,
    /// When it was applied, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The hash of the previous manifest, if any.
    pub previous: Option<Hash>,
    /// The hash of each document.
    pub documents: BTreeMap<DocumentName, Hash>,
}

impl Manifest {
    /// Returns the hash of each document by name.
    pub fn index(documents: &[Document]) -> BTreeMap<DocumentName, Hash> {
        documents
            .iter()
            .map(|document| (document.name.clone(), document.hash()))
            .collect()
    }

    /// Serializes the manifest to JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a manifest.
    ///
    /// # Errors
    ///
    /// Fails if `content` is not a valid manifest.
    pub fn decode(content: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(content).map_err(|e| Error::value("manifest", e.to_string()))
    }
}
