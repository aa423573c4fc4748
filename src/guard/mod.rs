//! The guard: admits calls to the one backend server of its VM and forwards them.

mod announcement;
mod backend;
mod crash;
mod gate;
mod lease;
mod notice;
mod once_calls;
mod pacing;
mod reply;
mod run_once;
mod run_permit;
mod sent_call;
mod serve;
mod server_request;
mod usage;

pub use backend::Backend;
pub use gate::{Gate, SlotPermit, Usages};
pub use lease::{Lease, LeaseState};
pub use once_calls::{OnceCalls, body_hash};
pub(crate) use run_permit::refuse_quarantined;
pub use serve::Guard;
