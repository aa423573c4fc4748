//! The guard: stands before the one backend server of its VM.

mod announced;
mod answer;
mod ask;
mod backend;
mod crash;
mod gate;
mod lease;
mod notice;
mod once;
mod paced;
mod run_once;
mod serve;
mod trial;
mod usage;

pub use backend::Backend;
pub use gate::{Gate, Pass, Usages};
pub use lease::{Lease, LeaseState};
pub use once::{OnceCalls, body_hash};
pub use serve::Guard;
pub(crate) use trial::held;
