//! The settings of one daemon.

mod log;
mod settings;

pub use log::{LogFormat, LogLevel, init_log};
pub use settings::{Config, Listen};
