//! Sizes of memory in settings.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer};

use crate::error::Error;

/// Units in descending order, with their bytes.
const UNITS: [(&str, u64); 3] = [("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10)];

/// A size of memory, written with a unit, such as `160MB`; a unit is 1024 of the next
/// smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemorySize(u64);

impl MemorySize {
    /// Creates a size from megabytes.
    pub const fn from_megabytes(megabytes: u64) -> Self {
        Self(megabytes << 20)
    }

    /// Returns the size in bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl FromStr for MemorySize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = |(unit, bytes): &(&str, u64)| {
            let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
            count.checked_mul(*bytes).filter(|bytes| *bytes > 0)
        };
        let size = UNITS.iter().find_map(parse);
        let message = || format!("\"{text}\" must be a number with its unit, such as 160MB or 2GB");
        size.map(Self)
            .ok_or_else(|| Error::value("size of memory", message()))
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = UNITS
            .iter()
            .find(|(_, bytes)| self.0.is_multiple_of(*bytes));
        match unit {
            Some((unit, bytes)) => write!(f, "{}{unit}", self.0 / bytes),
            None => write!(f, "{}KB", self.0.div_ceil(1 << 10)),
        }
    }
}

impl<'de> Deserialize<'de> for MemorySize {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
