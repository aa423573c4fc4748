//! Setting up of structured logs.

use std::num::NonZeroUsize;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Deserialize;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

use crate::error::Error;

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Error::value(
                "log format",
                format!("\"{text}\" must be text or json"),
            )),
        }
    }
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// Also what may need one soon.
    Warn,
    /// Also what changes.
    #[default]
    Info,
    /// Also single calls that were refused or failed.
    Debug,
}

impl LogLevel {
    const fn level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warn => Level::Warn,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }
}

/// Lines that wait to be written; more are dropped and counted.
const QUEUE: usize = 4096;

/// Lines dropped since the start because the reader of the log was too slow.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sends logs to standard output in the given form, without ever waiting for
/// its reader.
///
/// # Errors
///
/// Fails if the logger cannot be built.
pub fn init_log(level: LogLevel, format: LogFormat) -> Result<(), Error> {
    let wrong = |e: spdlog::Error| Error::remote(format!("cannot set up logs: {e}"));
    let sink = match format {
        LogFormat::Text => sink(FullFormatter::new()),
        LogFormat::Json => sink(JsonFormatter::new()),
    }
    .map_err(wrong)?;
    let logger = Logger::builder()
        .name("bramleymount")
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.level()))
        .flush_level_filter(LevelFilter::Off)
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build()
        .map_err(wrong)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn capacity() -> NonZeroUsize {
    NonZeroUsize::new(QUEUE).unwrap_or(NonZeroUsize::MIN)
}

fn sink<F: Formatter + 'static>(formatter: F) -> spdlog::Result<Arc<dyn Sink>> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter)
        .build()?;
    let pool = ThreadPool::builder().capacity(capacity()).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build()?;
    Ok(Arc::new(sink))
}
