//! Which calls a guard starts, lets wait and sheds, and what entries shed early.

mod chain;
mod control;
mod decision;
mod fair;
mod fair_class;
mod faults;
mod fill;
mod flow;
mod heard;
mod limit;
mod limited;
mod line;
mod load;
mod queue;
mod share;
mod shed;
mod spent;
mod threshold;
mod throttle;
mod weights;

pub use chain::{Chain, Met};
pub use control::{Admission, Settings};
pub use decision::{Decision, Event};
pub use fair::{FairQueue, Paid};
pub use faults::Faults;
pub use fill::usable;
pub use heard::Heard;
pub use limit::{Limit, Outcome};
pub use load::Load;
pub use queue::{Queue, Token, Waiting};
pub(crate) use share::Shares;
pub use shed::Shed;
pub use spent::{Spent, Usage};
pub use threshold::{Backlog, Threshold};
pub use throttle::Throttle;
pub use weights::Weights;
