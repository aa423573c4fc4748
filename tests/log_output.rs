//! Log lines of the real program at the end of a stop, and of a panic.

#![allow(missing_docs)]

mod support;

use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bramleymount::config::{LogFormat, LogLevel, init_log};
use bytes::Bytes;
use http::Method;
use rstest::rstest;
use support::{DaemonProcess, ctl, example, headers, platform, request, text};
use tokio::sync::Mutex;

/// Service of the daemon.
const SERVICE: &str = "forecast-archive";
/// Requests that are refused with a log line each; their lines fill a pipe.
const REFUSED_REQUESTS: usize = 300;
/// Capacity of a pipe.
const PIPE_BYTES: usize = 64 * 1024;
/// Padding of a request's host, which the line of its refusal repeats.
const HOST_PADDING: usize = 400;
/// Time after the signal in which the daemon stops whose standard output is not read.
const STOP_TIME: Duration = Duration::from_secs(12);
/// Names the case that a child process runs.
const CASE_VARIABLE: &str = "LOG_OUTPUT_CASE";
/// Lines that a child process logs before it ends.
const CHILD_LINES: usize = 4000;

/// Held while processes start and ports are looked up: a process that is spawned meanwhile
/// inherits the port until it runs its own program, so that it can't be bound.
static START_LOCK: Mutex<()> = Mutex::const_new(());

/// Starts a daemon whose standard output is a pipe, and fills the pipe.
async fn start_with_full_pipe() -> (DaemonProcess, impl Sized) {
    let starting = START_LOCK.lock().await;
    let (store, memory, running) = platform();
    let piped = Stdio::piped();
    let daemon = DaemonProcess::start_with_output("log", "oslo-1", SERVICE, store, &[], piped);
    daemon.announce().await;
    let operators = daemon.operators.to_string();
    let example = example("nordlysvakt");
    let applied = ctl(&["apply", &example, "--to", &operators, "--author", "test"]);
    assert!(applied.status.success(), "{}", text(&applied));
    drop(starting);
    let host = format!("{}.example", "h".repeat(HOST_PADDING));
    let url = format!("http://{}/x", daemon.callers);
    for _ in 0..REFUSED_REQUESTS {
        request(Method::GET, &url, headers(&[("host", &host)]), Bytes::new()).await;
    }
    (daemon, (memory, running))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_writes_last_line_to_slow_reader() {
    let (mut daemon, _running) = start_with_full_pipe().await;
    let mut output = daemon.child.stdout.take().expect("a pipe");
    daemon.terminate();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let reading = tokio::task::spawn_blocking(move || {
        let mut lines = String::new();
        output.read_to_string(&mut lines).map(|_| lines)
    });
    let lines = reading.await.expect("a reader").expect("lines");
    assert!(lines.len() > PIPE_BYTES, "{} bytes", lines.len());
    assert_eq!(lines.matches("\"payload\":\"stopped\"").count(), 1);
    assert!(lines.ends_with('\n'));
    let code = tokio::task::spawn_blocking(move || daemon.child.wait().map(|s| s.code())).await;
    assert_eq!(code.expect("task").expect("exit"), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_ends_though_output_is_not_read() {
    let (mut daemon, _running) = start_with_full_pipe().await;
    let _unread = daemon.child.stdout.take().expect("a pipe");
    daemon.terminate();
    let end = Instant::now() + STOP_TIME;
    let status = loop {
        if let Some(status) = daemon.child.try_wait().expect("a process") {
            break status;
        }
        assert!(Instant::now() < end, "the daemon does not exit");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status.code(), Some(0));
}

// Run in a child process only: what it logs and how it ends is what others test.
#[test]
fn child_case() {
    let Ok(case) = std::env::var(CASE_VARIABLE) else {
        return;
    };
    init_log(LogLevel::Info, LogFormat::Json).expect("a logger");
    for line in 0..CHILD_LINES {
        spdlog::info!("line", kv: { line });
    }
    if case == "panic" {
        let worker = std::thread::Builder::new().name("worker".into());
        let worker = worker.spawn(|| panic!("a \"quoted\" cause"));
        let _ = worker.expect("a thread").join();
    }
    spdlog::info!("last line");
}

#[rstest]
#[case::exit("exit", 0)]
#[case::panic("panic", 1)]
fn child_writes_all_lines(#[case] case: &str, #[case] panics: usize) {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.args(["--exact", "child_case", "--nocapture"]);
    command.env(CASE_VARIABLE, case);
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let child = {
        let _alone = START_LOCK.blocking_lock();
        command.spawn().expect("a child process")
    };
    let child = child.wait_with_output().expect("its output");
    let text = String::from_utf8(child.stdout).expect("text");
    let lines = || {
        text.lines()
            .filter_map(|line| line.find('{').map(|at| &line[at..]))
    };
    let parsed = lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let records: Vec<_> = parsed.collect();
    let count = |payload: &str| records.iter().filter(|r| r["payload"] == payload).count();
    assert_eq!(count("line"), CHILD_LINES);
    assert_eq!(count("last line"), 1);
    assert_eq!(count("panic"), panics);
    if let Some(panic) = records.iter().find(|r| r["payload"] == "panic") {
        assert_eq!(panic["level"], "critical");
        assert_eq!(panic["kv"]["cause"], "a \"quoted\" cause");
        assert_eq!(panic["kv"]["thread"], "worker");
        let place = panic["kv"]["place"].as_str().unwrap_or_default();
        assert!(place.contains("log_output.rs:"), "{place}");
    }
}
