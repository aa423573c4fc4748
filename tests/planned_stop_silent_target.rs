//! Planned stops beside a target that acknowledges all bytes and never answers, as one does
//! whose process stands still.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::web::{HttpListener, caller_text, listen};
use http::{HeaderValue, StatusCode};
use rstest::rstest;
use support::eventually;
use support::hosted::document;
use support::hosted_process::{HostedProcess, store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for a request on loopback to reach the other daemon.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// Time of requests: longer than a stop may take.
const CALL_TIME: Duration = Duration::from_secs(15);

/// Starts a backend server that answers at once.
async fn start_server(vm: &HostedProcess) -> HttpListener {
    let serving = listen(vm.backend, |request, _| async move {
        let mut answer = caller_text(StatusCode::OK, "text/plain", "done");
        let signature = HeaderValue::from_static("signed");
        let id = request.headers()["x-request-id"].clone();
        answer.headers_mut().insert("x-request-id", id);
        answer.headers_mut().insert("x-server-signature", signature);
        answer
    });
    serving.await.expect("a backend server")
}

async fn send(callers: SocketAddr, method: &str, id: &str) -> TcpStream {
    let ms = CALL_TIME.as_millis();
    let request = format!(
        "{method} /read/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {ms}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    let mut caller = TcpStream::connect(callers).await.expect("a connection");
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("a request");
    caller
}

/// Reads until the connection ends; returns the status, or 0 without a whole head.
async fn read_status(mut caller: TcpStream) -> u16 {
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    if !text.contains("\r\n\r\n") {
        return 0;
    }
    text[9..12].parse().expect("a status")
}

// Guards against a connection that ends without an answer at the end of the drain, since
// nothing is heard from the target before the deadline.
#[rstest]
#[case::read("GET")]
#[case::write("POST")]
#[tokio::test]
async fn stop_answers_request_to_silent_target(#[case] method: &str) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 20.0));
    let vm = HostedProcess::start("svc", address).await;
    let mut other = HostedProcess::start("other", address).await;
    let _server = start_server(&vm).await;
    vm.wait_serving().await;
    other.wait_serving().await;
    let callers = other.callers;
    eventually("an answer through the other VM", || async {
        (read_status(send(callers, method, "r0").await).await == 200).then_some(())
    })
    .await;
    vm.signal("STOP");
    let caller = send(callers, method, "r1").await;
    sleep(ARRIVAL_TIME).await;
    other.signal("TERM");
    // Neither promises that the request has not run.
    let status = read_status(caller).await;
    assert!([502, 504].contains(&status), "{status}");
    assert_eq!(other.wait_exit().await, Some(3));
    let log = other.log();
    let mut lines = log.lines().filter(|line| line.contains("call failed"));
    let line = lines.find(|line| line.contains(r#""request":"r1""#));
    let line = line.expect("a line on the request");
    assert!(!line.contains(r#""targets":"","#), "{line}");
}
