//! The format of the inventory file.

use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::model::{CentreName, Connections, HallName, ServiceName, Slots};

/// The file `inventory.yaml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Inventory {
    pub(super) data_centres: Vec<CentreEntry>,
    pub(super) services: Vec<ServiceEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CentreEntry {
    pub(super) name: Spanned<CentreName>,
    #[serde(default)]
    pub(super) region: Option<Box<str>>,
    pub(super) halls: Vec<Spanned<HallName>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServiceEntry {
    pub(super) name: Spanned<ServiceName>,
    pub(super) slots: Slots,
    pub(super) connections: Connections,
    #[serde(default)]
    pub(super) depends: Vec<Spanned<ServiceName>>,
    pub(super) servers: Vec<ServerEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerEntry {
    pub(super) data_centre: Spanned<CentreName>,
    pub(super) hall: Spanned<HallName>,
    pub(super) count: Spanned<u32>,
}
