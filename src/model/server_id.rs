//! Ids that backend servers announce.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// Longest accepted id, in bytes.
const MAX_BYTES: usize = 200;

/// The id of one run of a backend server, as the server announces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(Box<str>);

impl ServerId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ServerId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let valid =
            (1..=MAX_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        if !valid {
            let message = format!("it must have 1 to {MAX_BYTES} printable characters");
            return Err(Error::value("server id", message));
        }
        Ok(Self(text.into()))
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
