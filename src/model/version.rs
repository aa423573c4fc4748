//! Versions of the configuration.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The version number of a configuration, which only increases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// The version of a daemon that has no configuration yet.
    pub const NONE: Self = Self(0);

    /// Creates a version from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the version as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next version.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse()
            .map(Self)
            .map_err(|_| Error::value("version", format!("\"{text}\" must be a whole number")))
    }
}
