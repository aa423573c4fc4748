//! The adapter to the platform of the users' VMs.
//!
//! It alone knows the names on the platform's wire. Each is read once, here,
//! into the product's own types; decisions, state and recovery are elsewhere.

mod beat;
mod document;
mod headers;
mod ready;
mod row;
mod rows;
mod watch;

pub use beat::{read_announcement, serve_announcements};
pub use document::{Operated, read_document};
pub use headers::PlatformProtocol;
pub use ready::serve_readiness;
pub use rows::RowStore;
pub use watch::watch_configuration;
