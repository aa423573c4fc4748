//! Polling of the configuration from the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::declare::{Document, DocumentName, Hash, Manifest};
use crate::error::Error;
use crate::guard::Guard;
use crate::model::Version;
use crate::peer::{apply_configuration, known_documents};
use crate::policy::member::{Budget, VersionDecision, is_delegate};
use crate::tables::Shared;

/// The row that names the version in force.
pub const CURRENT_ROW: &str = "config/current";

/// How often a delegate reads the row.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Reads by one daemon, per second and per burst.
const READS_PER_S: f64 = 2.0;
const READ_BURST: f64 = 8.0;
/// Maximum delay of the next read after failures, so that a delegate finds a version
/// soon after an outage of the platform.
const MAX_BACKOFF: Duration = POLL_INTERVAL;

/// The content of the row that names the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentRow {
    /// The version.
    pub version: Version,
    /// The hash of its manifest in the object store.
    pub manifest: Hash,
    /// The change that made it.
    pub change: Box<str>,
}

/// Reads the row at regular intervals, forever, while this daemon has no
/// configuration or is a delegate of its data centre.
pub async fn poll_configuration(shared: Arc<Shared>, guard: Arc<Guard>) {
    let mut budget = Budget::with_max_backoff(Instant::now(), READS_PER_S, READ_BURST, MAX_BACKOFF);
    let mut seen = Version::NONE;
    loop {
        let unconfigured = shared.current.get().is_none();
        if (unconfigured || is_delegate(&shared.view.lock())) && budget.try_take(Instant::now()) {
            match read_version(&shared).await {
                Ok(()) => budget.record_answer(),
                Err(e) => {
                    spdlog::debug!("cannot read the configuration", kv: {
                        cause = e.to_string().as_str()
                    });
                    budget.record_failure(Instant::now(), &mut rand::rng());
                }
            }
        }
        if shared.current.version() != seen {
            seen = shared.current.version();
            guard.reload();
            shared.refresh_targets();
        }
        wait_for_version(&shared, seen).await;
    }
}

/// Waits for the next read, or until another version is in force.
async fn wait_for_version(shared: &Shared, seen: Version) {
    const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
    let end = Instant::now() + POLL_INTERVAL;
    while Instant::now() < end && shared.current.version() == seen {
        tokio::time::sleep(VERSION_CHECK_INTERVAL).await;
    }
}

async fn read_version(shared: &Shared) -> Result<(), Error> {
    let failed = |e: crate::store::ReadError| Error::remote(e.to_string());
    let row = shared.platform.read(CURRENT_ROW).await.map_err(failed)?;
    let Some(row) = row else {
        return Ok(());
    };
    let current: CurrentRow = serde_json::from_slice(&row.content)
        .map_err(|e| Error::value("configuration row", e.to_string()))?;
    if shared.current.decide(current.version) != VersionDecision::Apply {
        return Ok(());
    }
    let (manifest, documents) = fetch_version(shared, &current.manifest).await?;
    apply_configuration(shared, manifest, documents)
}

/// Fetches a manifest and its documents from the object store.
///
/// # Errors
///
/// Fails if the platform does not answer or an object is missing.
pub async fn fetch_version(
    shared: &Shared,
    manifest: &Hash,
) -> Result<(Manifest, Vec<Document>), Error> {
    let content = fetch_object(shared, manifest).await?;
    let manifest = Manifest::decode(&content)?;
    let known = shared.current.get();
    let mut documents: BTreeMap<DocumentName, Document> =
        known_documents(known.as_deref(), &manifest);
    for (name, hash) in &manifest.documents {
        if documents.contains_key(name) {
            continue;
        }
        let content = fetch_object(shared, hash).await?;
        let content = String::from_utf8_lossy(&content).into();
        let name = name.clone();
        documents.insert(name.clone(), Document { name, content });
    }
    Ok((manifest, documents.into_values().collect()))
}

async fn fetch_object(shared: &Shared, hash: &Hash) -> Result<bytes::Bytes, Error> {
    let found = shared.platform.get(hash.as_str()).await;
    let found = found.map_err(|e| Error::remote(e.to_string()))?;
    let content =
        found.ok_or_else(|| Error::remote(format!("object {hash} is not in the store")))?;
    if Hash::of(&content) != *hash {
        return Err(Error::remote(format!(
            "object {hash} does not match its hash"
        )));
    }
    Ok(content)
}
