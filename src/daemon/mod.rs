//! One daemon put together.

mod daemon;

pub use daemon::Daemon;
