//! Durations in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

/// A duration above zero, written with a unit, such as `250ms` or `2s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PositiveDuration(Duration);

impl PositiveDuration {
    /// Longest accepted duration.
    pub const MAX: Duration = Duration::from_secs(7 * 24 * 3600);

    /// Creates a duration from milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

/// Parses a number of seconds with a fraction, such as `2.5s`.
fn parse_fractional_seconds(text: &str) -> Option<Duration> {
    let number = text.strip_suffix('s')?;
    if !number.contains('.') {
        return None;
    }
    Duration::try_from_secs_f64(number.parse().ok()?).ok()
}

impl FromStr for PositiveDuration {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = |message: String| Error::value("duration", message);
        let parsed = parse_fractional_seconds(text)
            .map_or_else(|| humantime::parse_duration(text).ok(), Some);
        let time = parsed.ok_or_else(|| {
            invalid(format!(
                "\"{text}\" must be a number with its unit, such as 250ms, 2s or 5m"
            ))
        })?;
        if time.is_zero() || time > Self::MAX {
            return Err(invalid(format!(
                "\"{text}\" must be above 0 and at most 7d"
            )));
        }
        Ok(Self(time))
    }
}

impl fmt::Display for PositiveDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl Serialize for PositiveDuration {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PositiveDuration {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
