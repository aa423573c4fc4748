//! The format of the settings file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_saphyr::Spanned;

use super::{LogFormat, LogLevel};
use crate::model::{CentreName, HallName, MemorySize, PositiveDuration, ServiceName};
use crate::policy::front::FrontMode;
use crate::policy::rate::Sharing;
use crate::policy::route::Balance;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub(super) data_centre: CentreName,
    pub(super) hall: HallName,
    pub(super) service: ServiceName,
    pub(super) listen: ListenEntry,
    pub(super) backend: Spanned<SocketAddr>,
    pub(super) platform: Spanned<SocketAddr>,
    #[serde(default)]
    pub(super) neighbours: Vec<Spanned<SocketAddr>>,
    #[serde(default)]
    pub(super) hosting: Option<HostingEntry>,
    #[serde(default)]
    pub(super) balance: Balance,
    #[serde(default)]
    pub(super) metrics: Option<SocketAddr>,
    #[serde(default)]
    pub(super) front: FrontMode,
    #[serde(default)]
    pub(super) workers: Option<Spanned<usize>>,
    #[serde(default)]
    pub(super) callers: CallersEntry,
    #[serde(rename = "fair", default)]
    pub(super) fair_sharing: bool,
    #[serde(default)]
    pub(super) grace: Option<PositiveDuration>,
    #[serde(default)]
    pub(super) vm: VmEntry,
    #[serde(default)]
    pub(super) log: LogEntry,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenEntry {
    pub(super) callers: Spanned<SocketAddr>,
    pub(super) peers: Spanned<SocketAddr>,
    #[serde(default)]
    pub(super) advertised: Option<SocketAddr>,
    pub(super) operators: Spanned<SocketAddr>,
    #[serde(rename = "operators_beyond_loopback", default)]
    pub(super) remote_operators: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CallersEntry {
    #[serde(rename = "ahead", default)]
    pub(super) max_pipelined: Option<Spanned<usize>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VmEntry {
    #[serde(default)]
    pub(super) memory: Option<Spanned<MemorySize>>,
    #[serde(default)]
    pub(super) descriptors: Option<Spanned<usize>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HostingEntry {
    pub(super) announcements: SocketAddr,
    #[serde(default)]
    pub(super) seeds: Vec<Spanned<SocketAddr>>,
    pub(super) readiness: SocketAddr,
    #[serde(default)]
    pub(super) metrics: Option<SocketAddr>,
    #[serde(default)]
    pub(super) repeats: Option<RepeatsEntry>,
    #[serde(default)]
    pub(super) rates: Option<RatesEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RepeatsEntry {
    pub(super) share: Spanned<f64>,
    pub(super) window: PositiveDuration,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RatesEntry {
    pub(super) window: PositiveDuration,
    pub(super) over: Spanned<f64>,
    pub(super) slack: Spanned<f64>,
    #[serde(default)]
    pub(super) sharing: Sharing,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LogEntry {
    #[serde(default)]
    pub(super) level: LogLevel,
    #[serde(default)]
    pub(super) format: LogFormat,
}
