//! What a backend server says of itself with its answers.

use std::fmt;
use std::time::Duration;

use super::{Rate, RunId};

/// What an answer says of the requests a second that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedRate {
    /// Nothing.
    #[default]
    None,
    /// It takes so many, from all VMs together.
    Some(Rate),
    /// Something that is no rate.
    Unreadable,
}

impl fmt::Display for RequestedRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.pad("none"),
            Self::Some(rate) => rate.fmt(f),
            Self::Unreadable => f.pad("unreadable"),
        }
    }
}

/// What a backend server says of itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The requests that it takes.
    pub rate: RequestedRate,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// After which time it takes a request that it refused, if it says so.
    pub retry_after: Option<Duration>,
}

/// What one run of a backend server has said of itself, as daemons tell it to
/// each other.
///
/// An entry that was told tells it back with its calls, so a guard that has
/// started again beside the run knows it before the first call of any such entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedNotice {
    /// The run that it is true of.
    pub run: RunId,
    /// The requests a second that it takes, if it named a rate.
    pub rate: Option<Rate>,
    /// Whether it is about to stop.
    pub leaving: bool,
}
