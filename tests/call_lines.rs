//! Log lines and counts of calls that ended badly, of the real program.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use support::hosted::document;
use support::hosted_process::{HostedProcess, store};
use support::{eventually, hosted};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long the backend server runs a slow request.
const RUN_TIME: Duration = Duration::from_millis(1500);
/// Time for a request on loopback to reach the backend server.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// Length of a streamed answer, in bytes; more than a daemon holds whole, and more than
/// sockets buffer.
const STREAM_BYTES: usize = 32_000_000;
/// Number of refusals that use up the budget of their lines.
const REFUSALS: usize = 400;
/// Time that callers give a call, in milliseconds.
const CALL_TIME_MS: u64 = 4000;

/// When a stopping daemon still accepts a request that it can't finish.
const LATE_TIME: Duration = Duration::from_millis(1900);
/// How long the backend server runs a request that no daemon waits for.
const HANG_TIME: Duration = Duration::from_secs(20);

/// Serves requests: `/hang` after [`HANG_TIME`], `/slow` after [`RUN_TIME`], `/stream` with a large body, `/cut` with
/// the first half of one, `/break` by closing the connection, others at once.
async fn run_server(address: SocketAddr) {
    let listener = TcpListener::bind(address).await.expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream));
    }
}

async fn serve_connection(stream: TcpStream) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let path = head.split(' ').nth(1).unwrap_or_default();
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let id = lines.find(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
        let id = id.map_or("", |(_, id)| id);
        let kind = path.rsplit('/').next().unwrap_or_default();
        let body = vec![
            b'x';
            if kind == "stream" || kind == "cut" {
                STREAM_BYTES
            } else {
                8
            }
        ];
        let head = format!(
            "HTTP/1.1 200 -\r\nx-request-id: {id}\r\nx-server-signature: signed\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        match kind {
            "break" => return Ok(()),
            "hang" => sleep(HANG_TIME).await,
            "slow" => sleep(RUN_TIME).await,
            _ => {}
        }
        stream.write_all(head.as_bytes()).await?;
        if kind == "cut" {
            return stream.write_all(&body[..STREAM_BYTES / 2]).await;
        }
        stream.write_all(&body).await?;
    }
}

fn get(host: &str, path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {CALL_TIME_MS}\r\n\r\n"
    )
}

async fn send(callers: SocketAddr, request: &str) -> TcpStream {
    let mut caller = TcpStream::connect(callers).await.expect("a connection");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("a request sent");
    caller
}

/// Sends a request and returns the status of its answer.
async fn ask(callers: SocketAddr, host: &str, path: &str, id: &str) -> u16 {
    read_status(send(callers, &get(host, path, id)).await).await
}

/// Returns the status of the answer on a connection.
async fn read_status(mut caller: TcpStream) -> u16 {
    let mut head = [0; 12];
    caller.read_exact(&mut head).await.expect("an answer");
    let status = std::str::from_utf8(&head[9..]).expect("a status");
    status.parse().expect("a status")
}

/// Starts VMs of one service with their backend servers; a document routes to it.
async fn start_vms<const N: usize>() -> ([HostedProcess; N], impl Sized) {
    let (address, rows, listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let mut vms = Vec::new();
    for _ in 0..N {
        let vm = HostedProcess::start("svc", address).await;
        tokio::spawn(run_server(vm.backend));
        vm.wait_serving().await;
        vms.push(vm);
    }
    let vms = vms.try_into().unwrap_or_else(|_| unreachable!("{N} VMs"));
    (vms, (rows, listening))
}

/// Waits for the line of a request with this payload; returns its fields.
async fn fields(vm: &HostedProcess, payload: &str, request: &str) -> Value {
    let what = format!("the line \"{payload}\" of {request}");
    eventually(&what, || async {
        let log = vm.log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let mut lines = lines.filter(|line| line["payload"] == payload);
        let found = lines.find(|line| line["kv"]["request"] == request)?;
        Some(found["kv"].clone())
    })
    .await
}

// Guards against requests that end without an answer and without a trace.
#[rstest]
#[case::after_start(false)]
#[case::while_stopping(true)]
#[tokio::test]
async fn drop_of_sent_request_is_logged(#[case] stops: bool) {
    let ([vm], _kept) = start_vms().await;
    let caller = send(vm.callers, &get("a.example", "/read/slow", "r1")).await;
    sleep(ARRIVAL_TIME).await;
    if stops {
        vm.signal("TERM");
        sleep(ARRIVAL_TIME).await;
    }
    drop(caller);
    let line = fields(&vm, "request dropped", "r1").await;
    assert_eq!(line["sent"], true, "{line}");
    assert_eq!(line["stopping"], stops, "{line}");
    assert!(
        line["targets"]
            .as_str()
            .is_some_and(|text| !text.is_empty()),
        "{line}"
    );
    let sent_ms = line["sent_ms"].as_u64().expect("a time");
    let took_ms = line["took_ms"].as_u64().expect("a time");
    assert!(sent_ms >= 100 && sent_ms <= took_ms, "{line}");
    let line = fields(&vm, "call dropped at its server", "r1").await;
    assert_eq!(line["stopping"], stops, "{line}");
    let left = line["left_ms"].as_i64().expect("a time");
    assert!(left > 0 && left < CALL_TIME_MS as i64, "{line}");
}

// Guards against answers whose end is lost without a trace: the caller doesn't read on.
#[rstest]
#[case::after_start(false)]
#[case::while_stopping(true)]
#[tokio::test]
async fn unsent_answer_is_logged(#[case] stops: bool) {
    let ([vm], _kept) = start_vms().await;
    let caller = send(vm.callers, &get("a.example", "/read/stream", "r1")).await;
    sleep(ARRIVAL_TIME).await;
    if stops {
        vm.signal("TERM");
        sleep(ARRIVAL_TIME).await;
    }
    drop(caller);
    let line = fields(&vm, "answer not sent completely", "r1").await;
    assert_eq!(line["status"], 200, "{line}");
    assert_eq!(line["incomplete"], false, "{line}");
    assert_eq!(line["stopping"], stops, "{line}");
}

#[tokio::test]
async fn answer_cut_by_its_server_is_logged() {
    let ([vm], _kept) = start_vms().await;
    let mut caller = send(vm.callers, &get("a.example", "/read/cut", "r1")).await;
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    let line = fields(&vm, "answer not sent completely", "r1").await;
    assert_eq!(line["incomplete"], true, "{line}");
}

// Guards against lines that are lost since the process ends: of a call that is given up at
// the end of a drain, and of an answer whose rest is cut then.
#[tokio::test]
async fn end_of_a_stop_is_logged() {
    let ([mut vm], _kept) = start_vms().await;
    vm.signal("TERM");
    sleep(LATE_TIME).await;
    let late = get("a.example", "/read/hang", "r1").replace("4000", "5000");
    let undecided = send(vm.callers, &late).await;
    let late = late.replace("hang", "stream").replace("r1", "r2");
    let _unread = send(vm.callers, &late).await;
    assert_eq!(vm.wait_exit().await, Some(3));
    let log = vm.log();
    assert!(log.contains("\"payload\":\"stopped\""), "{log}");
    assert_eq!(read_status(undecided).await, 504);
    let line = fields(&vm, "call failed", "r1").await;
    assert_eq!(line["detail"], "this daemon ends", "{line}");
    assert_eq!(line["stopping"], true, "{line}");
    assert_ne!(line["targets"], "", "{line}");
    let line = fields(&vm, "answer not sent completely", "r2").await;
    assert_eq!(line["stopping"], true, "{line}");
}

// Guards against lines on answers that arrived.
#[tokio::test]
async fn complete_answers_are_not_logged() {
    let ([mut vm], _kept) = start_vms().await;
    for n in 0..20 {
        assert_eq!(
            ask(vm.callers, "a.example", "/read/now", &format!("r{n}")).await,
            200
        );
    }
    let mut caller = send(vm.callers, &get("a.example", "/read/stream", "r20")).await;
    let mut received = 0;
    let mut buffer = vec![0; 64 * 1024];
    while received < STREAM_BYTES {
        let count = caller.read(&mut buffer).await.expect("bytes");
        assert!(count > 0, "{received} bytes");
        received += count;
    }
    vm.signal("TERM");
    sleep(ARRIVAL_TIME).await;
    assert_eq!(ask(vm.callers, "a.example", "/read/slow", "r21").await, 200);
    drop(caller);
    assert_eq!(vm.wait_exit().await, Some(0));
    let log = vm.log();
    assert!(!log.contains("answer not sent completely"), "{log}");
    assert!(!log.contains("request dropped"), "{log}");
    assert!(!log.contains("call dropped at its server"), "{log}");
}

// Guards against failed calls whose line doesn't say what became of their attempts and
// of their parent.
#[tokio::test]
async fn failed_call_names_attempts_and_parent() {
    let ([vm, other], _kept) = start_vms().await;
    eventually("an answer of the other server", || async {
        let status = ask(other.callers, "a.example", "/read/now", "r0").await;
        (status == 200).then_some(())
    })
    .await;
    eventually("two attempts", || async {
        // Whose server has the parent is up to the choice of targets.
        let _parent = send(vm.callers, &get("a.example", "/read/slow", "r1")).await;
        sleep(ARRIVAL_TIME).await;
        let id = format!("r1.c{}", vm.log().len());
        ask(vm.callers, "a.example", "/read/break", &id).await;
        let line = fields(&vm, "call failed", &id).await;
        let targets = line["targets"]
            .as_str()
            .expect("targets")
            .split(' ')
            .count();
        let has_parent = line["parent"]
            .as_str()
            .is_some_and(|parent| !parent.is_empty());
        if targets != 2 || !has_parent {
            return None;
        }
        assert_eq!(line["verdict"], "may-have-run", "{line}");
        assert_eq!(line["earlier"], "answer-cut", "{line}");
        assert!(line["sent_ms"].as_u64().is_some(), "{line}");
        let left = line["parent_left_ms"].as_i64().expect("a time");
        assert!(left > 0 && left < CALL_TIME_MS as i64, "{line}");
        Some(())
    })
    .await;
    ask(vm.callers, "a.example", "/read/break", "r2").await;
    let line = fields(&vm, "call failed", "r2").await;
    assert_eq!(line["parent"], "", "{line}");
    assert_eq!(line["parent_left_ms"], 0, "{line}");
}

// Guards against failures that are not logged because refusals use up the lines.
#[rstest]
#[case::of_a_call_at_its_server(false)]
#[case::in_a_stop(true)]
#[tokio::test]
async fn refusals_leave_lines_to_failures(#[case] stops: bool) {
    let ([vm], _kept) = start_vms().await;
    let refuse = async |count: usize| {
        for n in 0..count {
            ask(vm.callers, "unknown.example", "/x", &format!("n{n}")).await;
        }
    };
    refuse(REFUSALS).await;
    if stops {
        vm.signal("TERM");
        sleep(ARRIVAL_TIME).await;
    }
    // Takes the lines that have become available since.
    refuse(REFUSALS / 4).await;
    ask(vm.callers, "a.example", "/read/break", "r1").await;
    let line = fields(&vm, "call failed", "r1").await;
    assert_eq!(line["stopping"], stops, "{line}");
    assert_eq!(line["verdict"], "may-have-run", "{line}");
    eventually("a count of the lines left out", || async {
        let counted = vm.log().contains("log lines on calls suppressed");
        counted.then_some(())
    })
    .await;
}

// Guards against drops that are not counted where nothing is logged.
#[tokio::test]
async fn dropped_request_is_counted() {
    let (address, rows, _listening) = hosted::store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let vm = hosted::vm("svc", address).await;
    vm.announce("ready", 1).await;
    vm.wait_ready().await;
    eventually("an answer", || async {
        let answer = vm.send(http::Method::GET, "/read/now", "r0").await;
        answer.status.is_success().then_some(())
    })
    .await;
    let caller = send(vm.callers, &get("a.example", "/read/slow", "r1")).await;
    eventually("a run", || async {
        let runs = vm.record.runs.lock();
        runs.iter().any(|(id, ..)| id == "r1").then_some(())
    })
    .await;
    drop(caller);
    let expected = [
        "bramleymount_requests_dropped_total{sent=\"true\"} 1",
        "bramleymount_backend_dropped_total 1",
    ];
    eventually("the counts", || async {
        let page = vm.daemon.shared().metrics.loss_page();
        let has_line = |expected: &str| page.lines().any(|line| line == expected);
        expected.into_iter().all(has_line).then_some(())
    })
    .await;
}
