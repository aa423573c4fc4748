//! Admission control: which calls a guard starts, queues and sheds, and which levels
//! entries learn from it to shed calls early.

mod class_shares;
mod control;
mod decision;
mod downstream;
mod fair;
mod fair_class;
mod fault_rate;
mod fill;
mod flow;
mod last_level;
mod limit;
mod load;
mod queue;
mod rate_limited;
mod report;
mod shed;
mod threshold;
mod throttle;
mod usage_table;
mod wait_queue;
mod weights;

pub(crate) use class_shares::ClassShares;
pub use control::{Admission, Settings};
pub use decision::{Decision, Event};
pub use downstream::{DownstreamLevels, OnwardOutcome};
pub use fair::{FairQueue, SlotCharge};
pub use fault_rate::FaultRate;
pub use fill::usable_slots;
pub use last_level::LastLevel;
pub use limit::{ConcurrencyLimit, Outcome};
pub use load::GuardLoad;
pub use queue::{CallToken, PriorityQueue, QueuedCall};
pub use shed::Shed;
pub use threshold::{Backlog, Threshold};
pub use throttle::Throttle;
pub use usage_table::{Usage, UsageTable};
pub use weights::Weights;
