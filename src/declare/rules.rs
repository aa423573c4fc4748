//! The rules as operators write them.

use ipnet::IpNet;
use serde::Deserialize;
use serde_saphyr::Spanned;

use std::collections::BTreeMap;

use crate::model::{
    Bytes, CallerName, ClassName, PositiveDuration, Rate, Retries, RouteName, ServiceName, Weight,
    WorkspaceName,
};

/// The file `rules.yaml`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Rules {
    pub(super) classes: Vec<ClassEntry>,
    pub(super) work: Vec<WorkEntry>,
    #[serde(default)]
    pub(super) routes: Vec<RouteEntry>,
    #[serde(default)]
    pub(super) callers: Vec<CallerEntry>,
    #[serde(default)]
    pub(super) workspaces: Option<Vec<WorkspaceEntry>>,
    #[serde(default)]
    pub(super) once: OnceEntry,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassEntry {
    pub(super) name: Spanned<ClassName>,
    #[serde(default)]
    pub(super) protected: bool,
    #[serde(default)]
    pub(super) once: Option<Spanned<KeyEntry>>,
    pub(super) deadline: PositiveDuration,
    #[serde(default)]
    pub(super) retries: Option<Retries>,
    #[serde(default)]
    pub(super) idempotent: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeyEntry {
    #[serde(default)]
    pub(super) key: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WorkEntry {
    pub(super) service: Spanned<ServiceName>,
    #[serde(default)]
    pub(super) method: Option<Spanned<Box<str>>>,
    #[serde(default)]
    pub(super) path: Option<Spanned<Box<str>>>,
    pub(super) class: Spanned<ClassName>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteEntry {
    pub(super) name: Spanned<RouteName>,
    pub(super) host: Spanned<Box<str>>,
    pub(super) path: Spanned<Box<str>>,
    pub(super) shares: Spanned<Vec<ShareEntry>>,
    pub(super) class: Spanned<ClassName>,
    pub(super) timeout: PositiveDuration,
    pub(super) objective: PositiveDuration,
    pub(super) attempts: Spanned<u32>,
    #[serde(default)]
    pub(super) public: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ShareEntry {
    pub(super) service: Spanned<ServiceName>,
    #[serde(default = "default_weight")]
    pub(super) weight: Weight,
}

fn default_weight() -> Weight {
    Weight::new(1)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CallerEntry {
    pub(super) name: Spanned<CallerName>,
    pub(super) networks: Vec<IpNet>,
    #[serde(default)]
    pub(super) classes: Vec<Spanned<ClassName>>,
}

/// A workspace. It has no `Debug`, since it holds keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WorkspaceEntry {
    pub(super) name: Spanned<WorkspaceName>,
    pub(super) keys: Vec<Spanned<Box<str>>>,
    #[serde(default)]
    pub(super) rate: Option<Rate>,
    #[serde(default)]
    pub(super) burst: Option<Spanned<u32>>,
    #[serde(default)]
    pub(super) classes: BTreeMap<ClassName, Spanned<ClassName>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OnceEntry {
    #[serde(default = "default_horizon")]
    pub(super) horizon: PositiveDuration,
    #[serde(rename = "memory", default = "default_retention")]
    pub(super) retention: PositiveDuration,
    #[serde(default = "default_ledger")]
    pub(super) ledger_bytes: Bytes,
}

fn default_horizon() -> PositiveDuration {
    PositiveDuration::from_millis(60_000)
}

fn default_retention() -> PositiveDuration {
    PositiveDuration::from_millis(24 * 3600 * 1000)
}

fn default_ledger() -> Bytes {
    Bytes::new(8 * 1024 * 1024)
}

impl Default for OnceEntry {
    fn default() -> Self {
        Self {
            horizon: default_horizon(),
            retention: default_retention(),
            ledger_bytes: default_ledger(),
        }
    }
}
