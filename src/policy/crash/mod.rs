//! Queries of death: requests that crash each backend server that runs them.
//!
//! A crash ends all calls in flight at one server, so each of them is a suspect
//! and one may be the cause. Three signs identify it: it is in flight at one crash
//! after another, it is never answered, and it crashes a server even if no other
//! suspect runs there.

mod restriction;
mod suspect;
mod suspects;

pub use restriction::RunRestriction;
pub use suspect::{CrashRecord, Suspect};
pub use suspects::Suspects;
