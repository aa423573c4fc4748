//! Acceptance of a new version of the configuration.

use bytes::Bytes;

use super::{ApplyRequest, ApplyResult};
use crate::declare::{Document, Hash, Manifest, diff, join};
use crate::model::Version;
use crate::peer::apply_configuration;
use crate::store::{Condition, Row, WriteError, WriteOutcome, write_with_retry};
use crate::tables::{Shared, unix_ms};
use crate::task::{CURRENT_ROW, CurrentRow, fetch_version};

/// Stores a new version; accepted means that the conditional write of its row
/// is known to have taken effect.
pub async fn apply(shared: &Shared, request: ApplyRequest) -> ApplyResult {
    if let Err(e) = join(&request.documents) {
        return refused(e.to_string());
    }
    let row = match shared.platform.read(CURRENT_ROW).await {
        Ok(row) => row,
        Err(e) => return refused(format!("{e}; nothing was written, apply again later")),
    };
    let (condition, current) = match before(row) {
        Ok(before) => before,
        Err(result) => return result,
    };
    if let Some(current) = &current {
        if current.change == request.change {
            let version = current.version;
            return ApplyResult::Accepted { version };
        }
        if let Some(version) = settled_before(shared, current, &request.change).await {
            return ApplyResult::Accepted { version };
        }
        if current.version != request.base {
            return conflict(shared, &request, current).await;
        }
    } else if request.base != Version::NONE {
        return refused("the platform holds no configuration; apply with --base 0");
    }
    accept(shared, request, condition, current).await
}

fn refused(reason: impl Into<Box<str>>) -> ApplyResult {
    ApplyResult::Refused {
        reason: reason.into(),
        current: None,
        changes: Vec::new(),
    }
}

fn before(row: Option<Row>) -> Result<(Condition, Option<CurrentRow>), ApplyResult> {
    let Some(row) = row else {
        return Ok((Condition::Absent, None));
    };
    match serde_json::from_slice(&row.content) {
        Ok(current) => Ok((Condition::Revision(row.revision), Some(current))),
        Err(e) => Err(refused(format!("row {CURRENT_ROW} is unreadable: {e}"))),
    }
}

/// Looks whether the change was accepted some versions ago.
async fn settled_before(shared: &Shared, current: &CurrentRow, change: &str) -> Option<Version> {
    const LOOK_BACK: usize = 16;
    let mut next = Some(current.manifest.clone());
    for _ in 0..LOOK_BACK {
        let content = shared.platform.get(next?.as_str()).await.ok()??;
        let manifest = Manifest::decode(&content).ok()?;
        if *manifest.change == *change {
            return Some(manifest.version);
        }
        next = manifest.previous;
    }
    None
}

/// Says what another operator changed meanwhile.
async fn conflict(shared: &Shared, request: &ApplyRequest, current: &CurrentRow) -> ApplyResult {
    let theirs = fetch_version(shared, &current.manifest).await;
    let ours = version_documents(shared, request.base, &current.manifest).await;
    let changes = match (ours, theirs) {
        (Some(base), Ok((_, theirs))) => diff(&base, &theirs),
        _ => Vec::new(),
    };
    let changes: Vec<Box<str>> = changes.iter().map(|c| c.to_string().into()).collect();
    ApplyResult::Refused {
        reason: format!(
            "version {} was applied since version {}; look at its changes and apply again with \
             --base {}",
            current.version, request.base, current.version
        )
        .into(),
        current: Some(current.version),
        changes,
    }
}

async fn version_documents(
    shared: &Shared,
    version: Version,
    newest: &Hash,
) -> Option<Vec<Document>> {
    let mut next = Some(newest.clone());
    while let Some(hash) = next {
        let content = shared.platform.get(hash.as_str()).await.ok()??;
        let manifest = Manifest::decode(&content).ok()?;
        if manifest.version == version {
            let (_, documents) = fetch_version(shared, &hash).await.ok()?;
            return Some(documents);
        }
        if manifest.version < version {
            return None;
        }
        next = manifest.previous;
    }
    None
}

async fn accept(
    shared: &Shared,
    request: ApplyRequest,
    condition: Condition,
    current: Option<CurrentRow>,
) -> ApplyResult {
    let version = request.base.next();
    let manifest = Manifest {
        version,
        change: request.change.clone(),
        author: request.author.clone(),
        unix_ms: unix_ms(),
        previous: current.map(|current| current.manifest),
        documents: Manifest::index(&request.documents),
    };
    let content = manifest.encode();
    let hash = Hash::of(&content);
    if let Err(e) = store(shared, &request.documents, &hash, content).await {
        return refused(format!("{e}; no version was made, apply again later"));
    }
    let row = CurrentRow {
        version,
        manifest: hash,
        change: request.change,
    };
    let content = serde_json::to_vec(&row).unwrap_or_default().into();
    match write_with_retry(shared.platform.as_ref(), CURRENT_ROW, condition, content).await {
        WriteOutcome::Written(_) => {
            let author = &*request.author;
            spdlog::info!("configuration accepted", kv: { version = version.get(), author });
            if let Err(e) = apply_configuration(shared, manifest, request.documents) {
                spdlog::error!("cannot put it in force", kv: { cause = e.to_string().as_str() });
            }
            ApplyResult::Accepted { version }
        }
        WriteOutcome::Conflict(_) => {
            refused("another operator was quicker; look at bramleyctl diff")
        }
        WriteOutcome::NotSent(reason) => {
            refused(format!("the platform cannot be reached: {reason}"))
        }
        WriteOutcome::Unknown(reason) => ApplyResult::Unknown { reason },
    }
}

/// Stores documents and manifest; storing them without a version does no harm.
async fn store(
    shared: &Shared,
    documents: &[Document],
    hash: &Hash,
    manifest: Vec<u8>,
) -> Result<(), WriteError> {
    let known = shared.current.get();
    for document in documents {
        let hash = document.hash();
        let stored = known
            .as_ref()
            .is_some_and(|k| k.manifest.documents.get(&document.name) == Some(&hash));
        if !stored {
            let content = Bytes::copy_from_slice(document.content.as_bytes());
            put(shared, &hash, content).await?;
        }
    }
    put(shared, hash, manifest.into()).await
}

/// Stores one object, and again if the answer was lost.
async fn put(shared: &Shared, hash: &Hash, content: Bytes) -> Result<(), WriteError> {
    const TRIES: usize = 3;
    let mut result = Ok(());
    for _ in 0..TRIES {
        result = shared.platform.put(hash.as_str(), content.clone()).await;
        if result.is_ok() {
            break;
        }
        // The answer may be lost though the object is there.
        if let Ok(Some(found)) = shared.platform.get(hash.as_str()).await
            && found == content
        {
            return Ok(());
        }
    }
    result
}
