//! Messages of the operators' interface, in JSON.

use serde::{Deserialize, Serialize};

use crate::declare::{Document, DocumentName, Hash};
use crate::metrics::MetricsRow;
use crate::model::{CentreName, Instance, ServiceName, Version};
use crate::policy::member::MemberState;

/// Asks for a change of the configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the change; asking again with the same one settles it.
    pub change: Box<str>,
    /// Who applies it.
    pub author: Box<str>,
    /// The version that the change was made from.
    pub base: Version,
    /// The whole new configuration.
    pub documents: Vec<Document>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyResult {
    /// It is accepted and will never be taken back.
    Accepted {
        /// Its version.
        version: Version,
    },
    /// It is not accepted and never will be.
    Refused {
        /// Why.
        #[serde(rename = "why")]
        reason: Box<str>,
        /// The version that stands in its place, if another was quicker.
        current: Option<Version>,
        /// What the other operator changed.
        changes: Vec<Box<str>>,
    },
    /// It may have been accepted; asking again settles it.
    Unknown {
        /// Why.
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

/// One version of the past.
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

/// One member as a daemon knows it.
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
    /// The configuration that it runs, if it said so when it was asked.
    pub version: Option<Version>,
    /// What its answers take now as a multiple of its service's mean, as the
    /// daemon that was asked has learned it.
    #[serde(rename = "pace", default, skip_serializing_if = "Option::is_none")]
    pub latency_ratio: Option<f64>,
}

/// What a daemon says of itself and of the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The daemon that answers.
    pub instance: Instance,
    /// The configuration that it runs.
    pub version: Version,
    /// Calls at its backend server, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// Keys in its ledger, and bytes that they take.
    pub ledger: (usize, usize),
    /// Connections to other daemons.
    pub connections: usize,
    /// All members that it knows.
    pub members: Vec<MemberStatus>,
}

/// Figures per class and per caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TopAnswer {
    /// Calls at the backend server, calls that wait, and the limit.
    pub load: (usize, usize, usize),
    /// By class.
    pub classes: Vec<MetricsRow>,
    /// By caller.
    pub callers: Vec<MetricsRow>,
}

/// What a backend server says when it announces itself.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// Whether it has just started and is still cold.
    #[serde(default)]
    pub cold: bool,
}

/// An idempotency key that can be used now.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The key.
    pub key: Box<str>,
}
