//! Assembly of a daemon from its parts.

mod run;

pub use run::Daemon;
