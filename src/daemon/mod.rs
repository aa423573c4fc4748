//! One daemon put together.

mod run;

pub use run::Daemon;
