//! The entry: takes calls from callers and from the own backend server.

mod accept;
mod again;
mod answer;
mod arrival;
mod body;
mod choice;
mod context;
mod forward;
mod front;
mod handler;
mod header;
mod once;
mod patience;
mod place;
mod purse;
mod rate;
mod rejected;
mod sending;
mod serve;

pub use crate::call::{ATTEMPT_HEADER, TIMEOUT_HEADER};
pub use handler::Entry;
pub use header::{REASON, TICKET, VERDICT};
pub use serve::serve_callers;
