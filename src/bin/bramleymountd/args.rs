//! The command line of the daemon.

use argh::FromArgs;
use bramleymount::config::LogFormat;

/// Overload control daemon; one runs on every backend server VM.
///
/// Example: bramleymountd settings.yaml
#[derive(FromArgs)]
pub(crate) struct Args {
    /// the settings file
    #[argh(positional)]
    pub(crate) settings: std::path::PathBuf,

    /// check the settings file and exit
    #[argh(switch)]
    pub(crate) check: bool,

    /// format of log lines, text or json; goes before the settings
    #[argh(option)]
    pub(crate) log_format: Option<LogFormat>,
}
