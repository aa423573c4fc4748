//! What a backend server says of itself with its answers.

use std::fmt;

use super::Rate;

/// What an answer says of the requests a second that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedRate {
    /// Nothing.
    #[default]
    None,
    /// It takes so many, from all VMs together.
    Some(Rate),
    /// Something that is no rate.
    Unreadable,
}

impl fmt::Display for NamedRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.pad("none"),
            Self::Some(rate) => rate.fmt(f),
            Self::Unreadable => f.pad("unreadable"),
        }
    }
}

/// What a backend server says of itself with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The requests that it takes.
    pub rate: NamedRate,
    /// Whether it is about to stop.
    pub leaving: bool,
}
