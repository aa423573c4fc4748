//! Kinds of calls.

use crate::model::{ClassRank, Depth};

/// Calls of one service that take alike: of one class, as deep in their tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallKind {
    /// The class.
    pub rank: ClassRank,
    /// How many calls stand above.
    pub depth: Depth,
}
