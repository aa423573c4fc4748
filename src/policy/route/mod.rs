//! Which backend server takes a call.

mod eject;
mod pick;
mod split;
mod subset;
mod table;
mod target;

pub use eject::Ejector;
pub use pick::{Pick, Want};
pub use split::Split;
pub use subset::{subset, subset_size};
pub use table::{Report, Table};
pub use target::{Target, TargetState};
