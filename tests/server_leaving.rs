//! Backend servers that say with their answers that they are about to stop.
//!
//! The load answered here: a server stops while callers go on, and its word in
//! answers comes before its announcement, or alone. Callers need each request
//! to go to a server that will still be there when it is to be answered.

#![allow(missing_docs)]

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use support::eventually;
use support::hosted::{document, store, vm, vm_beside};

/// Time from which on a leaving server may get nothing more.
const DRAIN_TIME: Duration = Duration::from_secs(2);

// Guards against a server that says only with its answers that it leaves, and
// goes on getting requests until it is gone.
#[tokio::test]
async fn leaving_server_receives_no_requests() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    vm.seen.say(&[("server-leaving", "1")]);
    let answer = vm.ask(Method::GET, "/read/1", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    let notified_at = Instant::now();
    tokio::time::sleep(DRAIN_TIME).await;
    // Its announcements may be older than the word, and come later.
    vm.announce("ready", 2).await;
    let answer = vm.ask(Method::POST, "/write/2", "r2").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let late = vm
        .seen
        .count(notified_at + DRAIN_TIME, Instant::now(), &["svc"]);
    assert_eq!(late, 0);
}

// Guards against a daemon that starts again beside a server that leaves, and takes
// a late announcement for a server that stays, though entries know better.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_guard_learns_from_entries_that_its_server_leaves() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let leaving = vm("svc", address).await;
    leaving.announce("ready", 1).await;
    let entry = vm_beside("till", address).await;
    entry.wait_ready().await;
    leaving.seen.say(&[("server-leaving", "1")]);
    eventually("the word", || async {
        let answer = entry.ask(Method::GET, "/read/1", "r1").await;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    let leaving = leaving.restart().await;
    leaving.announce("ready", 2).await;
    let before = leaving.seen.arrivals.lock().len();
    let refused = eventually("a call that meets the guard", || async {
        let answer = entry.ask(Method::GET, "/read/2", "r2").await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        text.contains("leaving").then_some(answer.status)
    })
    .await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(leaving.seen.arrivals.lock().len(), before);
}
