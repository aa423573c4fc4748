//! What a daemon may hold for others, and who has to go when it holds too much.

mod holder;
mod limits;
mod table;

pub use holder::{ConnectionGroup, HolderId, Purpose, Side};
pub use limits::ResourceLimits;
pub use table::{Full, ResourceTable};
