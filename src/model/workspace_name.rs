//! Names of workspaces.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

/// Longest accepted name, in bytes; names of rows have the same limit.
const MAX_BYTES: usize = 200;

/// The name of a workspace, by which the backend server knows the caller.
///
/// Operators also use these names in other systems, so any visible ASCII text is
/// accepted that fits in a header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceName(Box<str>);

impl WorkspaceName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for WorkspaceName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.is_empty() || text.len() > MAX_BYTES {
            let message = format!("\"{text}\" must have 1 to {MAX_BYTES} characters");
            return Err(Error::value("workspace name", message));
        }
        if !text.chars().all(|c| c.is_ascii_graphic()) {
            let message = format!("\"{text}\" may hold only visible ASCII characters");
            return Err(Error::value("workspace name", message));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for WorkspaceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl Serialize for WorkspaceName {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for WorkspaceName {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
