//! Backend servers that announce with their answers that they are about to stop.
//!
//! The notice in an answer may arrive before the server's announcement, or without
//! one. Requests must go to servers that will still be running to answer them.

#![allow(missing_docs)]

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use support::eventually;
use support::hosted::{document, store, vm, vm_without_server};

/// Time after which a leaving server must receive no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

// Guards against sending requests until the end to a server that announces its stop
// only with its answers.
#[tokio::test]
async fn leaving_server_receives_no_requests() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    vm.record.set_answer_headers(&[("server-leaving", "1")]);
    let answer = vm.send(Method::GET, "/read/1", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    let notified_at = Instant::now();
    tokio::time::sleep(DRAIN_TIME).await;
    // An older announcement may arrive after the notice.
    vm.announce("ready", 2).await;
    let answer = vm.send(Method::POST, "/write/2", "r2").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let late = vm
        .record
        .count_arrivals(notified_at + DRAIN_TIME, Instant::now(), &["svc"]);
    assert_eq!(late, 0);
}

// Guards against a restarted daemon that trusts a late announcement of a leaving
// server, although entries know that the server is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_guard_learns_from_entries_that_its_server_leaves() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let leaving = vm("svc", address).await;
    leaving.announce("ready", 1).await;
    let entry = vm_without_server("till", address).await;
    entry.wait_ready().await;
    leaving
        .record
        .set_answer_headers(&[("server-leaving", "1")]);
    eventually("an answer with the notice", || async {
        let answer = entry.send(Method::GET, "/read/1", "r1").await;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    let leaving = leaving.restart().await;
    leaving.announce("ready", 2).await;
    let before = leaving.record.arrivals.lock().len();
    let refused = eventually("a call that reaches the guard", || async {
        let answer = entry.send(Method::GET, "/read/2", "r2").await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        text.contains("leaving").then_some(answer.status)
    })
    .await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(leaving.record.arrivals.lock().len(), before);
}
