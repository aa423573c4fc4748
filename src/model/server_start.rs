//! The start time of a backend server's run.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// The start time of a backend server's run, in Unix milliseconds of its clock.
///
/// Distinguishes runs that have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerStart(u64);

impl ServerStart {
    /// Creates a start time from Unix milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the start time in Unix milliseconds.
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
        let invalid = |_| Error::value("start", format!("\"{text}\" must be a whole number"));
        text.parse().map(Self).map_err(invalid)
    }
}
