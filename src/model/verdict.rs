//! Whether a request may have run.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;

/// Whether a backend server may have run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No backend server started the request, and none will.
    NotRun,
    /// A backend server may have started the request.
    MayHaveRun,
    /// A backend server ran the request.
    Ran,
}

impl Verdict {
    /// Returns the value of the response header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(Error::value(
                "verdict",
                format!("\"{text}\" must be not-run, may-have-run or ran"),
            )),
        }
    }
}
