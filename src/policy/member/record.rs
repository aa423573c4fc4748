//! Membership records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::model::{CentreName, Instance, ServiceName, Slots};

/// Orders the records of one instance; only the instance itself increments it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The state of an instance; within one incarnation, later variants override
/// earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon runs, but its backend server has not announced itself.
    Waiting,
    /// It accepts calls.
    Serving,
    /// It accepts no new calls.
    Leaving,
    /// It does not answer the neighbour that watches it.
    Silent,
    /// It has stopped permanently.
    Left,
}

impl MemberState {
    /// Returns the text used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::Left => "left",
        }
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for MemberState {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        [
            Self::Waiting,
            Self::Serving,
            Self::Leaving,
            Self::Silent,
            Self::Left,
        ]
        .into_iter()
        .find(|state| state.as_str() == text)
        .ok_or_else(|| Error::value("member state", format!("\"{text}\" is not known")))
    }
}

/// One daemon and the backend server behind it.
///
/// The record does not contain the configuration version. If each member sent it
/// to all others, every change would cost each daemon 90 bytes per member and
/// neighbour: 124 KB per second at 5,300 members and 5,600 changes a day. It is
/// queried on demand instead ([`crate::peer::query_version`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon instance.
    pub instance: Instance,
    /// Its data centre.
    pub centre: CentreName,
    /// The service of its backend server.
    pub service: ServiceName,
    /// The order of this record among those of the instance.
    #[serde(rename = "beat")]
    pub incarnation: Incarnation,
    /// Whether it accepts calls.
    pub state: MemberState,
    /// Concurrent calls of its backend server, as announced by the server; if
    /// `None`, the inventory applies.
    #[serde(default)]
    pub slots: Option<Slots>,
}

impl Member {
    /// Returns whether this record overrides `other` of the same instance.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
