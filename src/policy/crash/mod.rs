//! Queries of death: requests that crash each backend server that runs them.
//!
//! A crash ends all calls that are under way at one server, so each of them is
//! a suspect and one may be the cause. Three things tell it from the others: it
//! is under way at one crash after another, it is never answered, and it
//! crashes a server also while no other suspect runs there.

mod restriction;
mod suspect;
mod suspects;

pub use restriction::RunRestriction;
pub use suspect::{CrashRecord, Suspect};
pub use suspects::Suspects;
