//! Time that the real program takes to stop, beside its grace.

#![allow(missing_docs)]

mod support;

use std::time::{Duration, Instant};

use bramleymount::web::{HttpListener, caller_text, listen};
use http::{HeaderValue, StatusCode};
use rstest::rstest;
use support::hosted::document;
use support::hosted_process::{HostedProcess, store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for a request on loopback to reach the backend server.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Starts a backend server that answers after `time`.
async fn start_server(vm: &HostedProcess, time: Duration) -> HttpListener {
    let serving = listen(vm.backend, move |request, _| async move {
        sleep(time).await;
        let mut answer = caller_text(StatusCode::OK, "text/plain", "done");
        let signature = HeaderValue::from_static("signed");
        let id = request.headers()["x-request-id"].clone();
        answer.headers_mut().insert("x-request-id", id);
        answer.headers_mut().insert("x-server-signature", signature);
        answer
    });
    serving.await.expect("a backend server")
}

// Guards against a stop that outlasts its grace, since what it waits for one after the other
// takes longer in all.
#[rstest]
#[case::caller_stays_after_late_answer(3000, 2600)]
#[case::shorter_than_readiness_delay(2000, 1000)]
#[tokio::test]
async fn stop_ends_within_grace(#[case] grace_ms: u64, #[case] answer_ms: u64) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let grace = Duration::from_millis(grace_ms);
    let mut vm = HostedProcess::start_with_grace("svc", address, grace).await;
    let run_time = ARRIVAL_TIME + Duration::from_millis(answer_ms);
    let _server = start_server(&vm, run_time).await;
    vm.wait_serving().await;
    let mut caller = TcpStream::connect(vm.callers).await.expect("a connection");
    let request = "GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n\
        x-deadline-ms: 5000\r\n\r\n";
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("a request");
    sleep(ARRIVAL_TIME).await;
    let begin = Instant::now();
    vm.signal("TERM");
    let mut status = [0; "HTTP/1.1 200".len()];
    let read = caller.read_exact(&mut status).await;
    read.expect("an answer");
    assert!(status.ends_with(b"200"));
    vm.wait_exit().await;
    let took = begin.elapsed();
    assert!(took < grace, "{took:?}");
}
