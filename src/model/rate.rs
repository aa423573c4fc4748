//! Request rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

/// Rates are stored in whole thousandths so that they compare exactly.
const PARTS_PER_REQUEST: f64 = 1000.0;

/// A number of requests per second, written such as `12.5/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate from requests per second; negative numbers count as zero.
    pub fn per_second(requests: f64) -> Self {
        Self((requests.max(0.0) * PARTS_PER_REQUEST).round() as u64)
    }

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_thousandths(parts: u64) -> Self {
        Self(parts)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn as_thousandths(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn get(self) -> f64 {
        self.0 as f64 / PARTS_PER_REQUEST
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.get())
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::value("rate", format!("\"{text}\" must be such as 12.5/s"));
        let number = text.strip_suffix("/s").ok_or_else(invalid)?;
        match number.trim().parse::<f64>() {
            Ok(requests) if requests.is_finite() && requests > 0.0 => {
                Ok(Self::per_second(requests))
            }
            Ok(_) | Err(_) => Err(invalid()),
        }
    }
}

impl Serialize for Rate {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Rate {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
