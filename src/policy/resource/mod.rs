//! Limits on what a daemon holds for others, and eviction of connections beyond them.

mod holder;
mod limits;
mod table;

pub use holder::{ConnectionGroup, HolderId, Purpose, Side};
pub use limits::ResourceLimits;
pub use table::{Full, ResourceTable};
