//! What is said of one daemon.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::model::{CentreName, Instance, ServiceName, Slots};

/// Orders what is said of one instance; only the instance itself raises it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Whether an instance takes calls; later states override earlier ones of the
/// same beat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The daemon runs, and its backend server has not announced itself.
    Waiting,
    /// It takes calls.
    Serving,
    /// It takes no new calls.
    Leaving,
    /// Its watcher does not hear from it.
    Silent,
    /// It has stopped for good.
    Left,
}

impl MemberState {
    /// Returns the text that stands in messages.
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
/// Which configuration it runs is no news of it: told by each member to all, a
/// change would cost every daemon an entry of 90 bytes a member and neighbour,
/// 124 KB a second at 5,300 members and 5,600 changes a day. Who wants to know
/// asks ([`crate::peer::query_version`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The run of the daemon.
    pub instance: Instance,
    /// Its data centre.
    pub centre: CentreName,
    /// The service of its backend server.
    pub service: ServiceName,
    /// The order of this news among others of the instance.
    #[serde(rename = "beat")]
    pub incarnation: Incarnation,
    /// Whether it takes calls.
    pub state: MemberState,
    /// Calls that its backend server runs at one time, as that announces; by
    /// the inventory if it does not.
    #[serde(default)]
    pub slots: Option<Slots>,
}

impl Member {
    /// Tells whether this news of one instance overrides `other`.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
