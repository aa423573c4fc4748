//! The entry: takes calls from callers and from the own backend server.

mod accept;
mod again;
mod answer;
mod body;
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

pub use crate::call::{ATTEMPT, TIMEOUT};
pub use handler::{Entry, serve_callers};
pub use header::{REASON, TICKET, VERDICT};
