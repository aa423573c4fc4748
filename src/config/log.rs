//! Setup of structured logging.

use std::any::Any;
use std::num::NonZeroUsize;
use std::panic::PanicHookInfo;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};
use serde::Deserialize;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, SinkPropAccess, StdStream, StdStreamSink};
use spdlog::{ErrorHandler, Level, LevelFilter, Logger, Record, ThreadPool};

use crate::error::Error;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
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

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only events that need an operator.
    Error,
    /// Also events that may need an operator soon.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also individual calls that were refused or failed.
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

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Lines dropped since the start because the log was read too slowly.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Interval at which a flush is requested again, since a full queue drops the request.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Number of flushes that the thread that writes the lines has carried out.
static FLUSH_COUNT: Mutex<u64> = Mutex::new(0);
/// Notified at each flush.
static FLUSHED: Condvar = Condvar::new();
/// Set once panics are logged.
static PANIC_HOOK: Once = Once::new();

/// Returns the number of log lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sends logs to standard output in the given format, without ever blocking on its
/// reader. Panics are logged, too.
///
/// # Errors
///
/// Fails if the logger cannot be built.
pub fn init_log(level: LogLevel, format: LogFormat) -> Result<(), Error> {
    let failed = |e: spdlog::Error| Error::remote(format!("cannot set up logging: {e}"));
    let sink = match format {
        LogFormat::Text => build_sink(FullFormatter::new()),
        LogFormat::Json => build_sink(JsonFormatter::new()),
    }
    .map_err(failed)?;
    let logger = Logger::builder()
        .name("bramleymount")
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.level()))
        .flush_level_filter(LevelFilter::Off)
        .error_handler(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        })
        .build()
        .map_err(failed)?;
    spdlog::set_default_logger(Arc::new(logger));
    PANIC_HOOK.call_once(|| {
        let default_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            log_panic(info);
            default_hook(info);
        }));
    });
    Ok(())
}

/// Waits until the lines logged so far are written, for `longest` at most; returns
/// whether they are. Otherwise the rest of them is dropped, so that the end of the
/// process doesn't wait for the reader of its standard output.
pub fn close_log(longest: Duration) -> bool {
    let logger = spdlog::default_logger();
    let end = Instant::now() + longest;
    let mut count = FLUSH_COUNT.lock();
    let before = *count;
    while Instant::now() < end {
        logger.flush();
        FLUSHED.wait_for(&mut count, FLUSH_INTERVAL);
        if *count > before {
            return true;
        }
    }
    if let Ok(silent) = Logger::builder().build() {
        // Dropping the logger would wait for its thread.
        std::mem::forget(spdlog::swap_default_logger(Arc::new(silent)));
    }
    false
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string);
    let thread = std::thread::current();
    spdlog::critical!("panic", kv: {
        cause = panic_cause(info.payload()),
        place = place.as_deref().unwrap_or_default(),
        thread = thread.name().unwrap_or_default()
    });
}

fn panic_cause(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let owned = || payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(owned).unwrap_or("unknown")
}

/// Standard output, with a notification of each flush.
struct OutputSink(StdStreamSink);

impl SinkPropAccess for OutputSink {
    fn level_filter(&self) -> LevelFilter {
        self.0.level_filter()
    }

    fn set_level_filter(&self, level_filter: LevelFilter) {
        self.0.set_level_filter(level_filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.0.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: ErrorHandler) {
        self.0.set_error_handler(handler);
    }
}

impl Sink for OutputSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        self.0.log(record)
    }

    fn flush(&self) -> spdlog::Result<()> {
        let result = self.0.flush();
        *FLUSH_COUNT.lock() += 1;
        FLUSHED.notify_all();
        result
    }
}

fn queue_capacity() -> NonZeroUsize {
    NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN)
}

fn build_sink<F: Formatter + 'static>(formatter: F) -> spdlog::Result<Arc<dyn Sink>> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter)
        .build()?;
    let pool = ThreadPool::builder().capacity(queue_capacity()).build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(OutputSink(sink)))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        })
        .build()?;
    Ok(Arc::new(sink))
}
