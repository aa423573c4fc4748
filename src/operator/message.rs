//! JSON messages of the operators' interface.

use serde::{Deserialize, Serialize};

use crate::declare::{Document, DocumentName, Hash};
use crate::metrics::MetricsRow;
use crate::model::{CentreName, Instance, ServiceName, Version};
use crate::policy::member::MemberState;

/// Requests a change of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the change; a repeated request with the same value is applied once.
    pub change: Box<str>,
    /// Who applies it.
    pub author: Box<str>,
    /// The version that the change is based on.
    pub base: Version,
    /// The complete new configuration.
    pub documents: Vec<Document>,
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResult {
    /// The change is accepted; this result is final.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// The change is refused; this result is final.
    Refused {
        /// The reason.
        #[serde(rename = "why")]
        reason: Box<str>,
        /// The current version, if another change was applied first.
        current: Option<Version>,
        /// What the other operator changed.
        changes: Vec<Box<str>>,
    },
    /// The change may have been accepted; a repeated request gives the result.
    Unknown {
        /// The reason.
        #[serde(rename = "why")]
        reason: Box<str>,
    },
}

/// The configuration in force at one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Its version.
    pub version: Version,
    /// Its documents.
    pub documents: Vec<Document>,
}

/// One version in the history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: Version,
    /// The change that made it.
    pub change: Box<str>,
    /// Who applied it.
    pub author: Box<str>,
    /// When, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// Its manifest, for a rollback.
    pub manifest: Hash,
    /// Documents that differ from the version before.
    pub changed: Vec<DocumentName>,
}

/// The status of one member, as known to the daemon that answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: Instance,
    /// Its data centre.
    pub centre: CentreName,
    /// Its service.
    pub service: ServiceName,
    /// Its state.
    pub state: MemberState,
    /// The version that it runs, if it answered the query.
    pub version: Option<Version>,
    /// Its latency relative to the mean of its service, as measured by the daemon that
    /// answers.
    #[serde(rename = "pace", default, skip_serializing_if = "Option::is_none")]
    pub latency_ratio: Option<f64>,
}

/// The status of a daemon and of the members that it knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon that answers.
    pub instance: Instance,
    /// The configuration that it runs.
    pub version: Version,
    /// Calls in flight at its backend server, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// Number of keys in its ledger, and their size in bytes.
    pub ledger: (usize, usize),
    /// Connections to other daemons.
    pub connections: usize,
    /// All members that it knows.
    pub members: Vec<MemberStatus>,
}

/// Metrics by class and by caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TopAnswer {
    /// Calls in flight at the backend server, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// By class.
    pub classes: Vec<MetricsRow>,
    /// By caller.
    pub callers: Vec<MetricsRow>,
}

/// The announcement of a backend server.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// Whether it has just started and is still cold.
    #[serde(default)]
    pub cold: bool,
}

/// An idempotency key that is valid now.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The key.
    pub key: Box<str>,
}
