//! Which backend server takes a call.

mod balance;
mod eject;
mod kind;
mod pace;
mod pick;
mod split;
mod subset;
mod table;
mod target;
mod timed;
mod took;
mod usual;
mod weight;

pub use balance::Balance;
pub use eject::Ejector;
pub use kind::Kind;
pub use pace::Pace;
pub use pick::{Pick, Want};
pub use split::Split;
pub use subset::{subset, subset_size};
pub use table::{Report, Table};
pub use target::{Target, TargetState};
pub use took::Took;
