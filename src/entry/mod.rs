//! The entry: takes calls from callers and from the own backend server.

mod accept;
mod answer;
mod body;
mod context;
mod forward;
mod handler;
mod header;
mod place;

pub use crate::call::{ATTEMPT, TIMEOUT};
pub use handler::{Entry, serve_callers};
pub use header::{REASON, TICKET, VERDICT};
