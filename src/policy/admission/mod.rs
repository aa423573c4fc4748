//! Which calls a guard starts, lets wait and sheds, and what entries shed early.

mod chain;
mod control;
mod faults;
mod fill;
mod heard;
mod limit;
mod load;
mod queue;
mod share;
mod shed;
mod threshold;

pub use chain::{Chain, Met};
pub use control::{Admission, Decision, Event, Settings};
pub use faults::Faults;
pub use fill::usable;
pub use heard::Heard;
pub use limit::{Limit, Outcome};
pub use load::Load;
pub use queue::{Queue, Token, Waiting};
pub(crate) use share::Shares;
pub use shed::Shed;
pub use threshold::{Backlog, Threshold};
