//! When a run of a backend server started.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// The start of a run of a backend server, in Unix milliseconds by its clock.
///
/// It tells apart runs that have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerStart(u64);

impl ServerStart {
    /// Makes a start of Unix milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the start in Unix milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ServerStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ServerStart {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = |_| Error::value("start", format!("\"{text}\" is no whole number"));
        text.parse().map(Self).map_err(wrong)
    }
}
