//! The settings of one daemon.

mod check;
mod file;
mod log;
mod settings;

pub use log::{LogFormat, LogLevel, close_log, dropped_lines, init_log};
pub use settings::{Config, Hosting, ListenAddresses, VmLimits};
