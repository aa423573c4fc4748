//! Latency that an entry records for servers of uneven speed.
//!
//! Guards against a failing server being rated as fast: one of three servers
//! answers every request with an error at once, and another answers slowly.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::web::{HttpListener, caller_text, listen};
use http::{HeaderValue, Method, StatusCode};
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server, vm_without_server_with};
use tokio::time::Instant;

struct Server {
    vm: Vm,
    _listening: HttpListener,
}

/// Starts a server that gives each request the same answer after a delay.
async fn server(store: SocketAddr, status: StatusCode, ms: u64) -> Server {
    let vm = vm_without_server("svc", store).await;
    let listening = listen(vm.backend, move |request, _| async move {
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let mut answer = caller_text(status, "text/plain", "answer");
        let id = request.headers().get("x-request-id").cloned();
        let headers = answer.headers_mut();
        headers.insert("x-request-id", id.expect("an id"));
        headers.insert("x-server-signature", HeaderValue::from_static("signed"));
        answer
    });
    let _listening = listening.await.expect("a backend server");
    vm.announce("ready", 1).await;
    Server { vm, _listening }
}

fn latency_ratio(entry: &Vm, server: &Server) -> Option<f64> {
    let service = "svc".parse().expect("a name");
    let table = entry.daemon.shared().targets.table(&service);
    let at = server.vm.daemon.shared().instance;
    table.lock().latency_ratio(Instant::now(), at)
}

/// Requests time out after 0.8 s on routes with an objective of 1 s.
#[rstest]
#[case::by_time("balance: auto\n", true)]
#[case::by_load("", false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_records_latency_of_successful_answers_only(
    #[case] line: &str,
    #[case] is_recorded: bool,
) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 0.8));
    let failing = server(address, StatusCode::INTERNAL_SERVER_ERROR, 0).await;
    let slow = server(address, StatusCode::OK, 200).await;
    let quick = server(address, StatusCode::OK, 40).await;
    let entry = vm_without_server_with("till", address, line).await;
    entry.wait_ready().await;
    eventually("the servers", || async {
        let service = "svc".parse().expect("a name");
        let table = entry.daemon.shared().targets.table(&service);
        let known = table.lock().targets().count() == 3;
        known.then_some(())
    })
    .await;
    for n in 0..40 {
        let id = format!("r{n}");
        entry.send(Method::GET, "/read/x", &id).await;
    }
    assert_eq!(latency_ratio(&entry, &failing), None);
    let (slow, quick) = (latency_ratio(&entry, &slow), latency_ratio(&entry, &quick));
    assert_eq!(
        (slow.is_some(), quick.is_some()),
        (is_recorded, is_recorded)
    );
    assert!(
        slow.unwrap_or(1.5) > quick.unwrap_or(1.0),
        "{slow:?} {quick:?}"
    );
}
