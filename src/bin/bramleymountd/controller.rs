//! Start, signal handling and stop of the daemon.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bramleymount::config::{Config, close_log, init_log};
use bramleymount::daemon::Daemon;
use bramleymount::error::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::Args;

/// Exit code if settings or addresses are invalid.
const INVALID_SETTINGS_CODE: u8 = 2;
/// Exit code if calls were cut off by the stop.
const CALLS_CUT_CODE: u8 = 3;

/// How long the last log lines may take to be written.
const LOG_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which the settings are read without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Runs the daemon and returns its exit code.
pub(crate) fn run(args: &Args) -> ExitCode {
    let config = match Config::read(&args.settings) {
        Ok(config) => config,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(INVALID_SETTINGS_CODE);
        }
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let served = serve(args, config);
    close_log(LOG_TIMEOUT);
    match served {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CALLS_CUT_CODE),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(INVALID_SETTINGS_CODE)
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
    let result = runtime.block_on(async {
        let failed = |e| Error::io("listen for signals", e);
        let mut term = signal(SignalKind::terminate()).map_err(failed)?;
        let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
        let hup = signal(SignalKind::hangup()).map_err(failed)?;
        let watcher = tokio::spawn(watch_settings(settings, config.clone(), hup));
        let daemon = Daemon::start(config).await?;
        stop_signal(&mut term, &mut int).await;
        watcher.abort();
        let repeats = tokio::spawn(ignore_repeats(term, int));
        let drained = daemon.stop().await;
        repeats.abort();
        Ok(drained)
    });
    // The process ends without waiting for work on other threads.
    runtime.shutdown_background();
    result
}

/// Builds the runtime that serves callers, other daemons and the platform.
///
/// A single worker is the calling thread itself, which avoids handing calls over
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

/// Reads the settings at each hang-up signal and at regular intervals.
///
/// Invalid and changed settings are only logged; changes take effect at the next start.
async fn watch_settings(path: PathBuf, mut known: Config, mut hup: Signal) {
    loop {
        let signalled = tokio::time::timeout(RELOAD_INTERVAL, hup.recv())
            .await
            .is_ok();
        match Config::read(&path) {
            Ok(config) if config == known => {
                if signalled {
                    spdlog::info!("reload: settings unchanged");
                }
            }
            Ok(config) => {
                spdlog::warn!("reload: settings changed; they take effect at the next start");
                known = config;
            }
            Err(errors) => {
                let cause = errors.to_string();
                spdlog::error!("reload: settings refused", kv: { cause = cause.as_str() });
            }
        }
    }
}

/// Ignores further signals to stop: a supervisor may signal both a process and its
/// group, and whoever wants to cut calls off can kill the process.
async fn ignore_repeats(mut term: Signal, mut int: Signal) {
    loop {
        stop_signal(&mut term, &mut int).await;
        spdlog::info!("stop signal repeated; already stopping");
    }
}

async fn stop_signal(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
