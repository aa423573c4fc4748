//! The reason for which a call was shed.

use std::fmt;

/// The reason for which a guard or an entry did not start a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shed {
    /// More important calls took the slots and the queue.
    Overload,
    /// The rate that the backend server requested is used up.
    Limited,
    /// A downstream service refuses calls of this level.
    Downstream,
    /// The call could no longer be answered before its deadline.
    Deadline,
    /// The caller gave up.
    Cancelled,
    /// The backend server is leaving and accepts no new calls.
    Leaving,
    /// There is no memory to hold it.
    Memory,
}

impl Shed {
    /// Returns the name used in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Limited => "server-rate",
            Self::Downstream => "downstream-overload",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Leaving => "leaving",
            Self::Memory => "memory",
        }
    }

    /// Returns whether demand exceeded capacity.
    pub const fn is_overload(self) -> bool {
        matches!(self, Self::Overload | Self::Limited | Self::Downstream)
    }
}

impl fmt::Display for Shed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
