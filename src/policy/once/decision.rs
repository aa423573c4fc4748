//! What becomes of a once call.

use super::{OnceRefusal, StoredAnswer};

/// What to do with a once call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceDecision {
    /// Start it; the key is new and the ledger has it as running.
    Start,
    /// Start it; the key came before and was never started.
    Resume,
    /// Wait for the run that is under way.
    Attach,
    /// Give this answer.
    Answer(StoredAnswer),
    /// Refuse it.
    Refuse(OnceRefusal),
}
