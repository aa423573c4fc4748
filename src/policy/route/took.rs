//! How long a call took.

use std::time::Duration;

/// How long a call took at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    /// Until it was answered.
    Answered(Duration),
    /// Until it ended without an answer.
    GivenUp(Duration),
}
