//! What becomes of a once call.

use super::{Kept, Refuse};

/// What to do with a once call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Start it; the key is new and the ledger has it as running.
    Start,
    /// Start it; the key came before and was never started.
    Resume,
    /// Wait for the run that is under way.
    Attach,
    /// Give this answer.
    Answer(Kept),
    /// Refuse it.
    Refuse(Refuse),
}
