//! Time that a call took.

use std::time::Duration;

/// Time that a call took at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTime {
    /// Time until it was answered.
    Answered(Duration),
    /// Time until it ended without a successful answer.
    Unanswered(Duration),
}
