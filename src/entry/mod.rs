//! The entry: takes calls from callers and from the own backend server.

mod accept;
mod answer;
mod body;
mod forward;
mod handler;
mod header;

pub use handler::{Entry, serve_callers};
pub use header::{ATTEMPT, REASON, TICKET, TIMEOUT, VERDICT};
