//! Identifies one crash of a backend server.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use super::{Instance, ServerId};
use crate::error::Error;

/// One crash of a backend server, the same for all daemons that hear of it.
///
/// A run crashes once, so it is a digest of the run; 64 bits keep the few
/// thousand crashes that are remembered at one time apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(u64);

impl CrashId {
    /// Makes the id of the crash of a run behind the daemon `guard`. The
    /// `count` of crashes that it has seen tells apart runs that have one id.
    pub fn of(guard: Instance, server: Option<&ServerId>, count: u64) -> Self {
        let server = server.map_or("", ServerId::as_str);
        Self(xxh3_64(format!("{guard} {server} {count}").as_bytes()))
    }

    /// Makes an id of a known value.
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
        let wrong = |_| Error::value("crash id", format!("\"{text}\" is no hex number"));
        u64::from_str_radix(text, 16).map(Self).map_err(wrong)
    }
}
