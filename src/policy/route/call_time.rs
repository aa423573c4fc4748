//! How long a call took.

use std::time::Duration;

/// How long a call took at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTime {
    /// Until it was answered.
    Answered(Duration),
    /// Until it ended without an answer.
    Unanswered(Duration),
}
