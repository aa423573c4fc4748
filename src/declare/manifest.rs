//! The documents of one version of the configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Document, DocumentName, Hash};
use crate::error::Error;
use crate::model::Version;

/// Names the documents of a version and who accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: Version,
    /// Identifies the change, to settle a lost answer.
    pub change: Box<str>,
    /// Who applied it, as they said.
    pub author: Box<str>,
    /// When it was applied, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// The hash of the manifest before it, if there was one.
    pub previous: Option<Hash>,
    /// The hash of each document.
    pub documents: BTreeMap<DocumentName, Hash>,
}

impl Manifest {
    /// Returns the names and hashes of documents.
    pub fn index(documents: &[Document]) -> BTreeMap<DocumentName, Hash> {
        documents
            .iter()
            .map(|document| (document.name.clone(), document.hash()))
            .collect()
    }

    /// Writes the manifest.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the content is no manifest.
    pub fn decode(content: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(content).map_err(|e| Error::value("manifest", e.to_string()))
    }
}
