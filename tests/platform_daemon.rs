//! Daemons on the platform, as callers, backend servers and the platform see them.

#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bramleymount::emulator::free_address;
use http::{Method, StatusCode};
use rstest::rstest;
use support::eventually;
use support::hosted::{document, store, vm};
use support::rows::{RowsFault, RowsStandIn};

#[tokio::test]
async fn call_returns_whole_answer_and_sets_origin() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    assert_eq!(vm.announce("ready", 1).await.status, StatusCode::OK);
    let answer = vm.send(Method::POST, "/write/x?a=%20b", "r1").await;
    assert_eq!(
        (answer.status, &*answer.body),
        (StatusCode::OK, &b"whole answer"[..])
    );
    assert_eq!(answer.headers["x-request-id"], "r1");
    assert_eq!(answer.headers["x-server-signature"], "signed");
    let runs = vm.record.runs.lock().clone();
    assert_eq!(runs, [("r1".into(), "svc".into(), 4)]);
}

#[tokio::test]
async fn daemon_without_configuration_refuses_as_not_run() {
    let (address, rows, _listening) = store().await;
    let vm = vm("svc", address).await;
    let answer = vm.send(Method::POST, "/write/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!vm.is_ready().await);
    rows.put("op", "config", &document(7, "svc", 2.0));
    vm.wait_ready().await;
}

#[rstest]
#[case::no_route("/nothing/x", 404)]
#[case::no_slash("/write", 404)]
#[case::no_server_yet("/write/x", 503)]
#[tokio::test]
async fn refusal_status_by_path(#[case] path: &str, #[case] status: u16) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    let answer = vm.send(Method::POST, path, "r1").await;
    assert_eq!(answer.status.as_u16(), status);
    assert!(vm.record.runs.lock().is_empty());
}

#[rstest]
#[case::refused_by_the_server("/write/shed", 503, 0)]
#[case::no_answer_of_a_server("/write/unsigned", 502, 1)]
#[case::repeated("/read/unsigned", 502, 1)]
#[tokio::test]
async fn failure_status_and_runs_by_path(
    #[case] path: &str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    let answer = vm.send(Method::POST, path, "r1").await;
    assert_eq!(answer.status.as_u16(), status);
    assert!(vm.record.runs.lock().len() >= runs);
    if path.starts_with("/write") {
        assert_eq!(vm.record.runs.lock().len(), runs);
    }
}

#[tokio::test]
async fn timeout_is_answered_in_time() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 0.4));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    let started = std::time::Instant::now();
    let answer = vm.send(Method::GET, "/read/slow", "r1").await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let took = started.elapsed();
    assert!(took >= Duration::from_millis(390), "{took:?}");
    assert!(took < Duration::from_millis(900), "{took:?}");
}

#[tokio::test]
async fn caller_disconnect_cancels_call() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 10.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    let working = || vm.record.active_runs.load(Ordering::SeqCst);
    let call = async {
        let call = vm.send(Method::GET, "/read/slow", "r1");
        let _ = tokio::time::timeout(Duration::from_millis(300), call).await;
    };
    let started = eventually("the work", || async { (working() == 1).then_some(()) });
    tokio::join!(call, started);
    let end = std::time::Instant::now() + Duration::from_millis(500);
    while working() > 0 {
        assert!(std::time::Instant::now() < end, "the server still works");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The call is sent to the other daemon as a plain HTTP call, since that daemon has
/// just answered another call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnect_cancels_call_at_another_daemon() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 10.0));
    let serving = vm("svc", address).await;
    serving.announce("ready", 1).await;
    let entry = vm("other", address).await;
    entry.wait_ready().await;
    eventually("a first answer", || async {
        let answer = entry.send(Method::GET, "/read/x", "r0").await;
        (answer.status == StatusCode::OK).then_some(())
    })
    .await;
    let working = || serving.record.active_runs.load(Ordering::SeqCst);
    let call = async {
        let call = entry.send(Method::GET, "/read/slow", "r1");
        let _ = tokio::time::timeout(Duration::from_millis(300), call).await;
    };
    let started = eventually("the work", || async { (working() == 1).then_some(()) });
    tokio::join!(call, started);
    let end = std::time::Instant::now() + Duration::from_millis(500);
    while working() > 0 {
        assert!(std::time::Instant::now() < end, "the server still works");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn draining_server_gets_no_calls() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 4).await;
    // An unreachable store must not delay the draining of a server on the same VM.
    rows.set_fault(RowsFault::Silent);
    assert_eq!(vm.announce("draining", 6).await.status, StatusCode::OK);
    let late = vm.announce("ready", 5).await;
    assert_eq!(late.status, StatusCode::OK);
    let answer = vm.send(Method::GET, "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(vm.record.runs.lock().is_empty());
}

#[tokio::test]
async fn configuration_follows_feed_and_never_downgrades() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    let version = || vm.daemon.shared().current.version().get();
    rows.put("op", "config", &document(12, "svc", 3.0));
    eventually("version 12", || async { (version() == 12).then_some(()) }).await;
    rows.put("op", "config", &document(9, "svc", 1.0));
    rows.put("op", "config", "no document");
    rows.set_fault(RowsFault::HistoryExpired);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(version(), 12);
    rows.put("op", "config", &document(13, "svc", 3.0));
    eventually("version 13", || async { (version() == 13).then_some(()) }).await;
}

/// Adds a member whose daemon accepts connections and never answers, as in a network
/// partition. It lasts until the listener is dropped.
fn add_silent_member(rows: &RowsStandIn) -> TcpListener {
    let silent = TcpListener::bind(free_address().expect("a port")).expect("a listener");
    let at = silent.local_addr().expect("an address");
    let member = format!(
        r#"{{"instance":"{at}@1","centre":"hall-a","service":"svc","beat":1,
        "state":"serving","version":0,"slots":20}}"#
    );
    rows.put("member", &at.to_string(), &member);
    silent
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unsafe_calls_avoid_silent_guard() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let _silent = add_silent_member(&rows);
    let serving = vm("svc", address).await;
    serving.announce("ready", 1).await;
    let entry = vm("other", address).await;
    entry.wait_ready().await;
    eventually("both targets", || async {
        let service = "svc".parse().expect("a name");
        let table = entry.daemon.shared().targets.table(&service);
        let known = table.lock().targets().count() == 2;
        known.then_some(())
    })
    .await;
    for n in 0..20 {
        let id = format!("r{n}");
        let answer = entry.send(Method::POST, "/write/x", &id).await;
        assert_eq!(answer.status, StatusCode::OK, "request {n}");
        let runs = serving.record.runs.lock();
        assert_eq!(runs.iter().filter(|run| run.0 == id).count(), 1);
    }
}

#[tokio::test]
async fn stop_closes_readiness_before_calls() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    let (callers, readiness) = (vm.callers, vm.readiness);
    let seen = std::sync::Arc::clone(&vm.record);
    let stopping = tokio::spawn(vm.daemon.stop());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let url = format!("http://{readiness}/readyz");
    let call = support::request(Method::GET, &url, http::HeaderMap::new(), "".into()).await;
    let status = call.map(|answer| answer.status);
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let url = format!("http://{callers}/read/x");
    let sent = support::headers(&[("host", "a.example"), ("x-request-id", "r1")]);
    let answer = support::request(Method::GET, &url, sent, "".into()).await;
    let answer = answer.expect("an answer while callers leave");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers["connection"], "close");
    assert_eq!(seen.runs.lock().len(), 1);
    assert!(stopping.await.expect("a stop"), "a call was aborted");
    let left = rows.calls();
    assert!(left > 0);
}

/// The platform kills a process six seconds after it asked it to stop. A daemon must
/// stop within that time although the store and a neighbour do not answer, and may
/// abort a call in progress only in the last second.
#[rstest]
#[case::idle(None, 4.9)]
#[case::call_under_way(Some("/read/slow"), 5.6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_ends_in_time_with_silent_store_and_neighbour(
    #[case] call: Option<&'static str>,
    #[case] most_seconds: f64,
) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 20.0));
    let _silent = add_silent_member(&rows);
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    let callers = vm.callers;
    let calling = call.map(|path| {
        tokio::spawn(async move {
            let url = format!("http://{callers}{path}");
            let sent = support::headers(&[("host", "a.example"), ("x-request-id", "r1")]);
            support::request(Method::GET, &url, sent, "".into()).await
        })
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    rows.set_fault(RowsFault::Silent);
    let started = std::time::Instant::now();
    let drained = vm.daemon.stop().await;
    let took = started.elapsed().as_secs_f64();
    assert!(took < most_seconds, "{took} s");
    assert_eq!(drained, call.is_none());
    if let Some(calling) = calling {
        assert!(took > 5.0, "{took} s");
        calling.abort();
    }
}

#[tokio::test]
async fn server_drained_by_operator_stays_drained() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    vm.daemon.guard().drain();
    vm.announce("ready", 2).await;
    let answer = vm.send(Method::GET, "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(vm.record.runs.lock().is_empty());
}

#[tokio::test]
async fn restarted_server_with_same_id_gets_calls() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    let run_state = |born: u64, cold: u64, sequence: u64| {
        format!(r#""state":"ready","coldLeftS":{cold},"sequence":{sequence},"born":{born}"#)
    };
    vm.wait_ready().await;
    vm.announce_with(&run_state(1_000, 0, 40)).await;
    let warm = vm.daemon.guard().gate().load().2;
    // It crashes and restarts before its lease expires.
    vm.announce_with(&run_state(2_000, 2, 1)).await;
    let cold = vm.daemon.guard().gate().load().2;
    assert!(cold < warm, "{cold} slots at once, {warm} before");
    let answer = vm.send(Method::POST, "/write/1", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    vm.announce_removal().await;
    let answer = vm.send(Method::POST, "/write/1", "r2").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    vm.announce_with(&run_state(3_000, 0, 1)).await;
    let answer = vm.send(Method::POST, "/write/1", "r3").await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[rstest]
#[case::missing_fields(r#"{"upstream":"svc"}"#)]
#[case::other_types(r#"{"upstream":"svc","slots":"20","state":"ready","sequence":41}"#)]
#[case::unknown_state(r#"{"upstream":"svc","slots":20,"state":"paused","sequence":41}"#)]
#[case::other_service(r#"{"upstream":"other","slots":20,"state":"draining","sequence":41}"#)]
#[case::start_of_other_type(
    r#"{"upstream":"svc","slots":20,"state":"draining","sequence":41,"born":"1"}"#
)]
#[case::no_json("\u{0}\u{1}{{{")]
#[tokio::test]
async fn invalid_announcement_is_ignored(#[case] body: &'static str) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 40).await;
    let answer = vm.announce_raw(body.into()).await;
    assert!(answer.status.is_client_error(), "{}", answer.status);
    let answer = vm.send(Method::POST, "/write/1", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
}

// Guards against a retry-after time of the daemon's own where the server that refused
// the request gave one.
#[tokio::test]
async fn refused_caller_gets_retry_after_of_server() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    vm.record.set_answer_headers(&[("retry-after", "3.5")]);
    let answer = vm.send(Method::POST, "/write/shed", "r1").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["retry-after"], "3.500");
}
