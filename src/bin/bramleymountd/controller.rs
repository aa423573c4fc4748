//! What the daemon does from start to end.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bramleymount::config::{Config, init_log};
use bramleymount::daemon::Daemon;
use bramleymount::error::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::Args;

/// Settings or addresses are wrong.
const WRONG: u8 = 2;
/// Calls were cut at the end.
const CUT: u8 = 3;

/// How often the settings are looked at without a signal.
const LOOK: Duration = Duration::from_secs(30);

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
    init_log(
        config.log_level,
        args.log_format.unwrap_or(config.log_format),
    )?;
    let settings = args.settings.clone();
    let runtime = runtime(config.workers)?;
    runtime.block_on(async {
        let failed = |e| Error::io("listen for signals", e);
        let mut term = signal(SignalKind::terminate()).map_err(failed)?;
        let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
        let hup = signal(SignalKind::hangup()).map_err(failed)?;
        let watched = tokio::spawn(watch_settings(settings, config.clone(), hup));
        let daemon = Daemon::start(config).await?;
        either(&mut term, &mut int).await;
        watched.abort();
        Ok(daemon.stop(either(&mut term, &mut int)).await)
    })
}

/// Builds the runtime that serves callers, other daemons and the platform.
///
/// One worker is the calling thread itself, which saves handing calls over
/// between threads.
fn runtime(workers: usize) -> Result<Runtime, Error> {
    let mut builder = if workers <= 1 {
        Builder::new_current_thread()
    } else {
        let mut builder = Builder::new_multi_thread();
        builder.worker_threads(workers);
        builder
    };
    builder
        .enable_all()
        .build()
        .map_err(|e| Error::io("start worker threads", e))
}

/// Reads the settings anew at each hang-up signal and now and then, for ever.
///
/// What is wrong changes nothing and is logged; what has changed is logged
/// with the word that it holds from the next start.
async fn watch_settings(path: PathBuf, mut known: Config, mut hup: Signal) {
    loop {
        let told = tokio::time::timeout(LOOK, hup.recv()).await.is_ok();
        match Config::read(&path) {
            Ok(config) if config == known => {
                if told {
                    spdlog::info!("reload: settings unchanged");
                }
            }
            Ok(config) => {
                spdlog::warn!("reload: settings changed; they hold from the next start");
                known = config;
            }
            Err(errors) => {
                let cause = errors.to_string();
                spdlog::error!("reload: settings refused", kv: { cause = cause.as_str() });
            }
        }
    }
}

async fn either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
