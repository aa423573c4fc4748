//! Ids of backend server crashes.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use super::{Instance, ServerId};
use crate::error::Error;

/// Identifies one crash of a backend server, the same at all daemons.
///
/// A run crashes once, so the id is a digest of the run. 64 bits suffice to
/// tell apart the few thousand crashes that are stored at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(u64);

impl CrashId {
    /// Computes the id of the crash of a run behind the daemon `guard`; `count`, the
    /// crashes it has seen so far, distinguishes runs with the same server id.
    pub fn of(guard: Instance, server: Option<&ServerId>, count: u64) -> Self {
        let server = server.map_or("", ServerId::as_str);
        Self(xxh3_64(format!("{guard} {server} {count}").as_bytes()))
    }

    /// Creates an id from its number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the id as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CrashId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = |_| Error::value("crash id", format!("\"{text}\" must be a hex number"));
        u64::from_str_radix(text, 16).map(Self).map_err(invalid)
    }
}
