//! The entry: accepts calls from callers and from the own backend server.

mod accept;
mod answer;
mod arrival;
mod attempt_reporter;
mod body;
mod call_trace;
mod caller_time;
mod context;
mod forward;
mod front;
mod handler;
mod header;
mod once;
mod rate;
mod rejection;
mod retry;
mod retry_source;
mod route_match;
mod serve;
mod target;

pub use crate::call::{ATTEMPT_HEADER, TIMEOUT_HEADER};
pub use handler::Entry;
pub use header::{REASON_HEADER, TICKET_HEADER, VERDICT_HEADER};
pub use serve::serve_callers;
