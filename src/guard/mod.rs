//! The guard: stands before the one backend server of its VM.

mod backend;
mod gate;
mod guard;
mod lease;
mod once;

pub use backend::{Backend, CALL, forwarded};
pub use gate::{Gate, Pass};
pub use guard::Guard;
pub use lease::{Lease, LeaseState};
pub use once::{OnceCalls, body_hash};
