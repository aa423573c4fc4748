//! Kind of a call.

use crate::model::{ClassRank, Depth};

/// Calls of one service that take similar time: of one class, at one depth of the
/// call tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallKind {
    /// Class of the calls.
    pub rank: ClassRank,
    /// Number of calls above them in the call tree.
    pub depth: Depth,
}
