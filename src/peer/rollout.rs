//! Distribution of configurations between daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;

use super::generated as wire;
use super::pool::Pool;
use super::query::{ExchangeError, query};
use crate::declare::{Document, DocumentName, Manifest};
use crate::error::Error;
use crate::tables::{ActiveConfiguration, Shared};

/// Fetches a later version of the configuration from a neighbour and applies it.
///
/// # Errors
///
/// Fails if the neighbour does not answer in time, or sends an invalid version.
pub(super) async fn fetch_configuration(
    shared: &Shared,
    pool: &Pool,
    address: SocketAddr,
    answer: &wire::ExchangeReply,
) -> Result<(), ExchangeError> {
    let invalid = |e: Error| ExchangeError(e.to_string().into());
    let manifest = Manifest::decode(&answer.manifest).map_err(invalid)?;
    let known = shared.current.get();
    let mut documents = known_documents(known.as_deref(), &manifest);
    let want: Vec<String> = manifest
        .documents
        .iter()
        .filter(|(name, _)| !documents.contains_key(*name))
        .map(|(_, hash)| hash.to_string())
        .collect();
    if !want.is_empty() {
        let request = wire::ExchangeRequest {
            from: shared.instance.to_string(),
            version: shared.current.version().get(),
            seen: u64::MAX,
            homes_seen: u64::MAX,
            suspects_seen: u64::MAX,
            seen_of: answer.from.clone(),
            want,
            ..Default::default()
        };
        for document in query(pool, address, request).await?.documents {
            let document = decode_document(document);
            documents.insert(document.name.clone(), document);
        }
    }
    apply_configuration(shared, manifest, documents.into_values().collect()).map_err(invalid)
}

/// Returns the documents of a manifest that are already in force.
pub(crate) fn known_documents(
    known: Option<&ActiveConfiguration>,
    manifest: &Manifest,
) -> BTreeMap<DocumentName, Document> {
    let Some(known) = known else {
        return BTreeMap::new();
    };
    manifest
        .documents
        .iter()
        .filter(|(name, hash)| known.manifest.documents.get(*name) == Some(*hash))
        .filter_map(|(name, _)| known.documents.get(name))
        .map(|document| (document.name.clone(), document.clone()))
        .collect()
}

/// Puts a version in force and notifies the other tasks of the daemon.
///
/// # Errors
///
/// Fails if the documents are invalid.
pub(crate) fn apply_configuration(
    shared: &Shared,
    manifest: Manifest,
    documents: Vec<Document>,
) -> Result<(), Error> {
    let version = manifest.version;
    if !shared.current.apply(manifest, documents)? {
        return Ok(());
    }
    spdlog::info!("configuration in force", kv: { version = version.get() });
    shared.refresh_targets();
    shared.notify_gossip();
    Ok(())
}

/// Returns the documents that a neighbour requested.
pub(super) fn requested_documents(
    in_force: Option<&ActiveConfiguration>,
    want: &[String],
) -> Vec<wire::Document> {
    let Some(in_force) = in_force else {
        return Vec::new();
    };
    // The hashes are read from the manifest, since this runs in every exchange
    // and recomputing them would process all routes.
    in_force
        .manifest
        .documents
        .iter()
        .filter(|(_, hash)| want.iter().any(|w| w == hash.as_str()))
        .filter_map(|(name, hash)| Some((in_force.documents.get(name)?, hash)))
        .map(|(document, hash)| wire::Document {
            name: document.name.to_string(),
            hash: hash.to_string(),
            content: Bytes::copy_from_slice(document.content.as_bytes()),
        })
        .collect()
}

fn decode_document(document: wire::Document) -> Document {
    Document {
        name: DocumentName::from_text(&document.name),
        content: String::from_utf8_lossy(&document.content).into(),
    }
}
