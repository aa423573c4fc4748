//! Short ids of backend server runs.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ServerId, ServerStart};
use crate::error::Error;

/// Identifies one run of a backend server, even among runs with the same server
/// id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(u64);

impl RunId {
    /// Computes the id of a run of `server`, with its start time if it is known.
    pub fn of(server: &ServerId, start: Option<ServerStart>) -> Self {
        let start = start.map_or(0, ServerStart::as_millis);
        Self(xxh3_64_with_seed(server.as_str().as_bytes(), start))
    }

    /// Creates an id from a number that another daemon sent.
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the id as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RunId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = |_| Error::value("run", format!("\"{text}\" must be a hexadecimal number"));
        u64::from_str_radix(text, 16).map(Self).map_err(invalid)
    }
}
