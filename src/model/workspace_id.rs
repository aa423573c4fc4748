//! Short ids of workspaces.

use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use super::WorkspaceName;
use crate::error::Error;

/// A hash of a workspace's name, the same on every VM.
///
/// It replaces the name in calls between daemons. Workspaces whose ids collide
/// are treated as one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(NonZeroU32);

impl WorkspaceId {
    /// Computes the id of a workspace.
    pub fn of(name: &WorkspaceName) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes()) as u32;
        Self(NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN))
    }

    /// Creates an id from its number; 0 means no workspace.
    pub fn from_raw(raw: u32) -> Option<Self> {
        NonZeroU32::new(raw).map(Self)
    }

    /// Returns the id as a number, never 0.
    pub const fn get(self) -> u32 {
        self.0.get()
    }
}

impl fmt::Display for WorkspaceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for WorkspaceId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u32::from_str_radix(text, 16)
            .ok()
            .filter(|_| text.len() == 8)
            .and_then(Self::from_raw)
            .ok_or_else(|| {
                let message = format!("\"{text}\" must be 8 hex digits, not all 0");
                Error::value("workspace id", message)
            })
    }
}
