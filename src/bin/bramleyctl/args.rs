//! The command line of the operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use bramleymount::model::{CallId, Version};

/// Operates an estate of bramleymount daemons.
///
/// Exit codes: 0 done; 1 refused or not healthy; 2 invalid input; 3 no answer;
/// 4 unknown, resolve it with the command that is printed.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(crate) command: Command,

    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    History(History),
    Rollback(Rollback),
    Drain(Drain),
    Explain(Explain),
    Top(Top),
    Ticket(Ticket),
}

/// Check a directory of declarations, offline. Example: bramleyctl check estate/
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// directory with inventory.yaml and rules.yaml
    #[argh(positional)]
    pub(crate) dir: PathBuf,
}

/// Show what applying a directory would change. Example: bramleyctl diff estate/ --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// directory with inventory.yaml and rules.yaml
    #[argh(positional)]
    pub(crate) dir: PathBuf,

    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}

/// Store a directory as a new version. Example: bramleyctl apply estate/ --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// directory with inventory.yaml and rules.yaml
    #[argh(positional)]
    pub(crate) dir: PathBuf,

    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,

    /// version that the change is based on; the active one if left out
    #[argh(option)]
    pub(crate) base: Option<Version>,

    /// id of the change, to repeat one whose result is unknown
    #[argh(option)]
    pub(crate) change: Option<String>,

    /// who applies it; the user's name if left out
    #[argh(option)]
    pub(crate) author: Option<String>,
}

/// Show all daemons with their state and version. Example: bramleyctl status --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}

/// Show past versions. Example: bramleyctl history --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}

/// Apply the content of a past version as a new one. Example: bramleyctl rollback 7 --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(crate) struct Rollback {
    /// version whose content is to be applied again
    #[argh(positional)]
    pub(crate) version: Version,

    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,

    /// who applies it; the user's name if left out
    #[argh(option)]
    pub(crate) author: Option<String>,
}

/// Stop new calls to the backend server of one daemon. Example: bramleyctl drain --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// operators' address of that daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}

/// Show the decisions on a call and their reasons. Example: bramleyctl explain ID --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// call id, as in the header Bramleymount-Call
    #[argh(positional)]
    pub(crate) call: CallId,

    /// operators' address of the daemon that accepted the call
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}

/// Show goodput, shed calls, limit and retries, live. Example: bramleyctl top --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "top")]
pub(crate) struct Top {
    /// operators' address of a daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,

    /// seconds between two samples
    #[argh(option, long = "every", default = "1")]
    pub(crate) interval_secs: u64,

    /// number of samples; unlimited if left out
    #[argh(option, long = "looks")]
    pub(crate) samples: Option<u64>,
}

/// Issue an idempotency key that works during outages. Example: bramleyctl ticket pass-sales --to 127.0.0.1:8002
#[derive(FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(crate) struct Ticket {
    /// service that the key is for
    #[argh(positional)]
    pub(crate) service: bramleymount::model::ServiceName,

    /// operators' address of any daemon
    #[argh(option, long = "to")]
    pub(crate) address: SocketAddr,
}
