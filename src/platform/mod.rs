//! The adapter to the platform that hosts the users' VMs.
//!
//! No other module knows the platform's wire names. They are converted here into the
//! product's own types; decisions, state and recovery are elsewhere.

mod announcement;
mod configuration;
mod document;
mod headers;
mod readiness;
mod row;
mod row_store;

pub use announcement::{read_announcement, serve_announcements};
pub use configuration::watch_configuration;
pub use document::{VersionedEstate, read_document};
pub use headers::PlatformProtocol;
pub use readiness::serve_readiness;
pub use row_store::RowStore;
