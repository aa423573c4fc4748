//! Setting up of structured logs.

use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

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

/// Sends logs to standard error in the given form.
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
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(wrong)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn sink<F: Formatter + 'static>(formatter: F) -> spdlog::Result<Arc<dyn Sink>> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build()?;
    Ok(Arc::new(sink))
}
