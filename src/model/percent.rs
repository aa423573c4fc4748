//! Shares in whole percent.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// A share from 0 to 100 percent, written such as `45%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u8);

impl Percent {
    /// Creates a share from whole percent, capped at 100.
    pub fn new(percent: u32) -> Self {
        Self(u8::try_from(percent.min(100)).unwrap_or(100))
    }

    /// Creates a share from a fraction of 1, rounded to whole percent.
    pub fn from_share(share: f64) -> Self {
        Self::new((share.clamp(0.0, 1.0) * 100.0).round() as u32)
    }

    /// Returns the share in percent.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns the share as a fraction of 1.
    pub fn share(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::value("share", format!("\"{text}\" must be such as 45%"));
        let number = text.strip_suffix('%').ok_or_else(invalid)?;
        match number.parse::<u8>() {
            Ok(percent) if percent <= 100 => Ok(Self(percent)),
            Ok(_) | Err(_) => Err(invalid()),
        }
    }
}
