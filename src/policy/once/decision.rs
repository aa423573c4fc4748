//! Decisions of a ledger on a once call.

use super::{OnceRefusal, StoredAnswer};

/// What to do with a once call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceDecision {
    /// Start it; the key is new and is now recorded as running.
    Start,
    /// Start it; the key is known but its call was never started.
    Resume,
    /// Wait for the execution in progress.
    Attach,
    /// Return this stored answer.
    Answer(StoredAnswer),
    /// Refuse it.
    Refuse(OnceRefusal),
}
