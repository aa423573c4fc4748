//! Answers of backend servers that callers read slowly while a daemon stops.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use bramleymount::web::{HttpListener, caller_text, listen};
use http::{HeaderValue, StatusCode};
use support::eventually;
use support::hosted::{document, store};
use support::hosted_process::HostedProcess;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{interval, sleep};

/// Length of a body, in bytes: more than the buffers between server and caller hold,
/// so that its end is still on its way while the daemon drains.
const BODY_BYTES: usize = 13_500_000;
/// What a slow caller reads per [`READ_INTERVAL`], in bytes.
const READ_BYTES: u64 = 50_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a request on loopback to reach the backend server.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Starts a backend server that sends the whole body at once.
async fn start_server(vm: &HostedProcess) -> HttpListener {
    let serving = listen(vm.backend, |request, _| async move {
        let body = vec![b'x'; BODY_BYTES];
        let mut answer = caller_text(StatusCode::OK, "text/plain", body);
        let signature = HeaderValue::from_static("signed");
        let id = request.headers()["x-request-id"].clone();
        answer.headers_mut().insert("x-request-id", id);
        answer.headers_mut().insert("x-server-signature", signature);
        answer
    });
    serving.await.expect("a backend server")
}

/// Sends a request through a daemon on a connection that closes after the answer.
async fn send(vm: &HostedProcess) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    let mut caller = socket.connect(vm.callers).await.expect("a connection");
    let request = "GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n\
        x-deadline-ms: 20000\r\nconnection: close\r\n\r\n";
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("a request");
    caller
}

/// Reads an answer slowly; returns how much of its body arrived, in bytes.
async fn read_slowly(mut caller: TcpStream) -> usize {
    let mut answer = Vec::new();
    let mut reads = interval(READ_INTERVAL);
    loop {
        reads.tick().await;
        let mut part = (&mut caller).take(READ_BYTES);
        match part.read_to_end(&mut answer).await {
            Ok(count) if count > 0 => {}
            _ => break,
        }
    }
    let head = answer.windows(4).position(|end| end == b"\r\n\r\n");
    answer.len() - head.map_or(answer.len(), |start| start + 4)
}

// Guards against the end of an answer that is lost between two daemons, since it has
// left the backend server but not yet the VM of that server when the drain ends.
#[tokio::test]
async fn stop_sends_answer_that_left_its_server() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 20.0));
    let mut vm = HostedProcess::start("svc", address).await;
    let other = HostedProcess::start("other", address).await;
    let _server = start_server(&vm).await;
    vm.wait_serving().await;
    other.wait_serving().await;
    eventually("an answer through the other VM", || async {
        let mut start = [0; "HTTP/1.1 200".len()];
        let read = send(&other).await.read_exact(&mut start).await;
        (read.is_ok() && start.ends_with(b"200")).then_some(())
    })
    .await;
    let caller = send(&other).await;
    let answer = tokio::spawn(read_slowly(caller));
    sleep(ARRIVAL_TIME).await;
    vm.signal("TERM");
    assert_eq!(vm.wait_exit().await, Some(0));
    assert_eq!(answer.await.expect("the caller"), BODY_BYTES);
}
