//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

/// Parts of a request that rates are kept in, so that they compare exactly.
const PARTS: f64 = 1000.0;

/// Requests a second, written such as `12.5/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// Makes a rate of requests a second; what is below zero counts as zero.
    pub fn per_second(requests: f64) -> Self {
        Self((requests.max(0.0) * PARTS).round() as u64)
    }

    /// Makes a rate of thousandths of a request a second.
    pub const fn from_thousandths(parts: u64) -> Self {
        Self(parts)
    }

    /// Returns the thousandths of a request a second.
    pub const fn as_thousandths(self) -> u64 {
        self.0
    }

    /// Returns the requests a second.
    pub fn get(self) -> f64 {
        self.0 as f64 / PARTS
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
        let wrong = || Error::value("rate", format!("\"{text}\" must be such as 12.5/s"));
        let number = text.strip_suffix("/s").ok_or_else(wrong)?;
        match number.trim().parse::<f64>() {
            Ok(requests) if requests.is_finite() && requests > 0.0 => {
                Ok(Self::per_second(requests))
            }
            Ok(_) | Err(_) => Err(wrong()),
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
