//! The entry: takes calls from callers and from the own backend server.

mod accept;
mod answer;
mod body;
mod entry;
mod forward;
mod header;
mod once;

pub use entry::{Entry, serve_callers};
pub use header::{ATTEMPT, REASON, TICKET, TIMEOUT, VERDICT};
