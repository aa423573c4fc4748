//! Choice of the backend server that takes a call.

mod balance;
mod call_kind;
mod call_time;
mod eject;
mod kind_means;
mod latency;
mod latency_ratio;
mod pick;
mod smoothing;
mod split;
mod subset;
mod table;
mod target;

pub use balance::Balance;
pub use call_kind::CallKind;
pub use call_time::CallTime;
pub use eject::Ejector;
pub use latency_ratio::LatencyRatio;
pub use pick::{CallNeeds, Pick};
pub use split::Split;
pub use subset::{subset, subset_size};
pub use table::{AttemptReport, Table};
pub use target::{Target, TargetState};
