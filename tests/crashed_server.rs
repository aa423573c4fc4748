//! A backend server that crashes while its daemon goes on.
//!
//! Guards against routing to the guard of a crashed server. It is idle and therefore
//! the least loaded target, but refuses every call; after three such attempts a call
//! is refused although other servers have capacity. The time limits follow from
//! announcements every one or two seconds, gossip within a tenth of a second and a
//! lease of ten seconds.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use bramleymount::guard::LeaseState;
use bramleymount::policy::route::TargetState;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use support::crashing::CrashingVm;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server};

/// How long the server is down; longer than the test.
const RESTART_TIME: Duration = Duration::from_secs(30);
/// Concurrent calls. With sequential calls, about two test runs in a hundred send all
/// ten to the other server and never reach the crashed one.
const CONCURRENT_CALLS: usize = 8;
/// Time within which all daemons must know that a server has crashed.
const DETECTION_LIMIT: Duration = Duration::from_secs(2);

fn serving_targets(entry: &Vm) -> usize {
    let service = "svc".parse().expect("a name");
    let table = entry.daemon.shared().targets.table(&service);
    let table = table.lock();
    let serving = table.targets().filter(|t| t.state == TargetState::Serving);
    serving.count()
}

async fn wait_serving(entry: &Vm, count: usize) {
    eventually("the serving targets", || async {
        (serving_targets(entry) == count).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashed_server_is_avoided_before_its_lease_ends() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let first = CrashingVm::start("svc", address, RESTART_TIME).await;
    let _second = CrashingVm::start("svc", address, RESTART_TIME).await;
    let entry = vm_without_server("till", address).await;
    entry.wait_ready().await;
    wait_serving(&entry, 2).await;
    first.server.crash();
    let crashed = std::time::Instant::now();
    for round in 0..10 {
        let calls = (0..CONCURRENT_CALLS).map(async |n| {
            let (path, id) = (format!("/read/{round}-{n}"), format!("r{round}-{n}"));
            let answer = entry.send(Method::GET, &path, &id).await;
            assert_eq!(answer.status, StatusCode::OK, "request {n} of {round}");
        });
        join_all(calls).await;
    }
    wait_serving(&entry, 1).await;
    assert!(
        crashed.elapsed() < DETECTION_LIMIT,
        "{:?}",
        crashed.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_server_serves_from_its_first_announcement() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let restart_time = Duration::from_millis(500);
    let first = CrashingVm::start("svc", address, restart_time).await;
    let entry = vm_without_server("till", address).await;
    entry.wait_ready().await;
    wait_serving(&entry, 1).await;
    first.server.crash();
    let answer = entry.send(Method::GET, "/read/1", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    wait_serving(&entry, 0).await;
    assert_eq!(first.vm.daemon.guard().lease_state(), LeaseState::Absent);
    wait_serving(&entry, 1).await;
    let answer = entry.send(Method::GET, "/read/2", "r2").await;
    assert_eq!(answer.status, StatusCode::OK);
}
