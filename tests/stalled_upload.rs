//! Uploads through a daemon that stands still for a moment.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use bramleymount::web::{caller_text, listen};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use support::hosted::{document, store};
use support::hosted_process::HostedProcess;
use support::{eventually, headers, request};
use tokio::time::sleep;

/// Length of an upload, in bytes; more than a daemon holds whole.
const UPLOAD_BYTES: usize = 600_000;
/// How long the daemon stands still.
const STALL_TIME: Duration = Duration::from_millis(600);

fn request_headers(id: &str) -> HeaderMap {
    headers(&[
        ("host", "a.example"),
        ("x-request-id", id),
        ("x-deadline-ms", "5000"),
    ])
}

// Guards against uploads that may be repeated and are given up, as if they may have run,
// because the daemon beside the server does not acknowledge them at once.
#[tokio::test]
async fn stall_gives_up_no_upload() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let vm = HostedProcess::start("svc", address).await;
    let other = HostedProcess::start("other", address).await;
    let server = listen(vm.backend, |request, _| async {
        let (head, body) = request.into_parts();
        let _ = body.collect().await;
        let mut answer = caller_text(StatusCode::OK, "text/plain", "whole answer");
        answer.headers_mut().extend(
            head.headers
                .into_iter()
                .filter_map(|(name, value)| Some((name?, value)))
                .filter(|(name, _)| name == "x-request-id"),
        );
        answer
            .headers_mut()
            .extend(headers(&[("x-server-signature", "signed")]));
        answer
    })
    .await;
    let _server = server.expect("a server");
    vm.wait_serving().await;
    other.wait_serving().await;
    let url = format!("http://{}/read/x", other.callers);
    eventually("an answer through the other VM", || async {
        let answer = request(Method::GET, &url, request_headers("r0"), "".into()).await?;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    vm.signal("STOP");
    let resume = async {
        sleep(STALL_TIME).await;
        vm.signal("CONT");
    };
    let body = vec![b'x'; UPLOAD_BYTES].into();
    let upload = request(Method::PUT, &url, request_headers("r1"), body);
    let (answer, ()) = tokio::join!(upload, resume);
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}
