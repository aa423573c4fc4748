//! Modes of the front of an estate.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer};

use super::FrontOptions;
use crate::error::Error;

/// How the front of an estate treats call trees and refused callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FrontMode {
    /// By admission levels alone; refused callers return after about a second.
    #[default]
    Levels,
    /// Refused callers get a backoff that fits their time and the demand.
    Backoff,
    /// Returning callers go before others of their class.
    Boost,
    /// Call trees that cannot reach a service are refused.
    FailFast,
}

impl FrontMode {
    /// Returns the decisions made besides admission levels.
    pub const fn options(self) -> FrontOptions {
        let none = FrontOptions::NONE;
        match self {
            Self::Levels => none,
            Self::Backoff => FrontOptions {
                backoff: true,
                ..none
            },
            Self::Boost => FrontOptions {
                boost: true,
                ..none
            },
            Self::FailFast => FrontOptions {
                fail_fast: true,
                ..none
            },
        }
    }
}

impl fmt::Display for FrontMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Levels => "levels",
            Self::Backoff => "backoff",
            Self::Boost => "boost",
            Self::FailFast => "fail-fast",
        })
    }
}

impl FromStr for FrontMode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "levels" => Ok(Self::Levels),
            "backoff" => Ok(Self::Backoff),
            "boost" => Ok(Self::Boost),
            "fail-fast" => Ok(Self::FailFast),
            _ => Err(Error::value(
                "front",
                format!("\"{text}\" must be levels, backoff, boost or fail-fast"),
            )),
        }
    }
}

impl<'de> Deserialize<'de> for FrontMode {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
