//! Shares in whole hundredths.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// A share from 0 to 100 in a hundred, written such as `45%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u8);

impl Percent {
    /// Makes a share from hundredths; more than 100 count as 100.
    pub fn new(hundredths: u32) -> Self {
        Self(u8::try_from(hundredths.min(100)).unwrap_or(100))
    }

    /// Makes a share from a fraction of 1.
    pub fn from_share(share: f64) -> Self {
        Self::new((share.clamp(0.0, 1.0) * 100.0).round() as u32)
    }

    /// Returns the hundredths.
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
        let wrong = || Error::value("share", format!("\"{text}\" must be such as 45%"));
        let number = text.strip_suffix('%').ok_or_else(wrong)?;
        match number.parse::<u8>() {
            Ok(hundredths) if hundredths <= 100 => Ok(Self(hundredths)),
            Ok(_) | Err(_) => Err(wrong()),
        }
    }
}
