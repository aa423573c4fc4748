//! Why a call was shed.

use std::fmt;

/// Why a guard or an entry did not start a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shed {
    /// More important work filled the slots and the queue.
    Overload,
    /// The backend server takes no more calls a second than it was given.
    Limited,
    /// A service further down the chain refuses calls of this level.
    Downstream,
    /// The call could no longer be answered before its deadline.
    Deadline,
    /// The caller went away.
    Cancelled,
    /// The backend server takes no new calls.
    Leaving,
}

impl Shed {
    /// Returns the text that stands in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Limited => "server-rate",
            Self::Downstream => "downstream-overload",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Leaving => "leaving",
        }
    }

    /// Tells whether the shedding is a sign of more demand than capacity.
    pub const fn is_overload(self) -> bool {
        matches!(self, Self::Overload | Self::Limited | Self::Downstream)
    }
}

impl fmt::Display for Shed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
