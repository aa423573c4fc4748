//! What the daemon does from start to end.

use std::process::ExitCode;

use bramleymount::config::{Config, init_log};
use bramleymount::daemon::Daemon;
use bramleymount::error::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::Args;

/// Threads for peers and background tasks.
const THREADS: usize = 2;

/// Settings or addresses are wrong.
const WRONG: u8 = 2;
/// Calls were cut at the end.
const CUT: u8 = 3;

/// Runs the daemon and returns its exit code.
pub(crate) fn run(args: &Args) -> ExitCode {
    let config = match Config::read(&args.settings) {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(WRONG);
        }
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(args, config) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CUT),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(WRONG)
        }
    }
}

fn serve(args: &Args, config: Config) -> Result<bool, Error> {
    init_log(config.level, args.log_format.unwrap_or(config.format))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(|e| Error::io("start worker threads", e))?;
    runtime.block_on(async {
        let failed = |e| Error::io("listen for signals", e);
        let mut term = signal(SignalKind::terminate()).map_err(failed)?;
        let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
        let daemon = Daemon::start(config).await?;
        either(&mut term, &mut int).await;
        Ok(daemon.stop(either(&mut term, &mut int)).await)
    })
}

async fn either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
