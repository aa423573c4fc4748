//! Criterion by which targets are compared.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer};

use crate::error::Error;

/// Criterion by which targets are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Balance {
    /// Load.
    #[default]
    Load,
    /// Expected time of an answer.
    Time,
    /// Expected time where a late answer is worthless, otherwise load.
    Auto,
}

impl Balance {
    /// Returns whether targets are compared by time, given whether the estate
    /// ends requests early.
    pub fn is_by_time(self, ends_early: bool) -> bool {
        match self {
            Self::Load => false,
            Self::Time => true,
            Self::Auto => ends_early,
        }
    }
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Load => "load",
            Self::Time => "time",
            Self::Auto => "auto",
        })
    }
}

impl FromStr for Balance {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "load" => Ok(Self::Load),
            "time" => Ok(Self::Time),
            "auto" => Ok(Self::Auto),
            _ => Err(Error::value(
                "balance",
                format!("\"{text}\" must be load, time or auto"),
            )),
        }
    }
}

impl<'de> Deserialize<'de> for Balance {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
