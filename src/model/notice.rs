//! Notices that a backend server sends with its answers.

use std::fmt;
use std::time::Duration;

use super::{Rate, RunId};

/// The request rate that a backend server asks for with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedRate {
    /// The answer names no rate.
    #[default]
    None,
    /// The total rate that the server accepts from all VMs.
    Some(Rate),
    /// The answer names a rate that can't be parsed.
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

/// What a backend server reports about itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The request rate that it accepts.
    pub rate: RequestedRate,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// When a refused request may be retried, if the server says so.
    pub retry_after: Option<Duration>,
}

/// What one run of a backend server has reported, as daemons relay it.
///
/// Guards send it to entries, which send it back with their calls. So a guard
/// that restarts during the run knows it before it admits the first such call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedNotice {
    /// The run that the notice applies to.
    pub run: RunId,
    /// The rate that it requested, if any.
    pub rate: Option<Rate>,
    /// Whether it is about to stop.
    pub leaving: bool,
}
