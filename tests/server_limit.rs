//! Backend servers that limit their requests per second.
//!
//! An overloaded server names a lower rate than its slots allow, while the other
//! servers of its service have capacity. The limit applies to the sum over all
//! entries, however fast the server answers, and the other servers must take the
//! remaining calls at once. The bounds are those of the platform: 1.5 times the limit
//! plus five requests in any four seconds.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bramleymount::policy::route::TargetState;
use http::Method;
use support::eventually;
use support::hosted::{Vm, document, store, vm, vm_without_server};
use support::load::send_reads;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time until an entry must obey a limit after it relayed the notice.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Returns the maximum number of requests in a window under a limit.
fn max_requests(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn server(store: SocketAddr) -> Vm {
    let server = vm("svc", store).await;
    server.announce("ready", 1).await;
    server
}

async fn entry(service: &str, store: SocketAddr, servers: usize) -> Vm {
    let entry = vm_without_server(service, store).await;
    entry.wait_ready().await;
    let table = entry
        .daemon
        .shared()
        .targets
        .table(&"svc".parse().expect("a name"));
    eventually("the servers as targets", || async {
        let table = table.lock();
        let serving = table.targets().filter(|t| t.state == TargetState::Serving);
        (serving.count() == servers).then_some(())
    })
    .await;
    entry
}

// Guards against daemons that ignore the limit: without it, 335 requests in 4 s
// reached a server that had named 23.3 a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_limit_bounds_requests_from_all_entries() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let (limited, unlimited) = (server(address).await, server(address).await);
    let origins = ["till", "desk"];
    let entries = [
        entry(origins[0], address, 2).await,
        entry(origins[1], address, 2).await,
    ];
    limited
        .record
        .set_answer_headers(&[("server-limit", "10.0")]);
    let start = Instant::now();
    let entries: Vec<_> = entries.iter().collect();
    let ends = send_reads(&entries, "/read/", 120, WINDOW + PROPAGATION_TIME * 2).await;
    let most = limited
        .record
        .max_in_window(start + PROPAGATION_TIME, WINDOW, &origins);
    assert!(most <= max_requests(10.0), "it got {most} in 4 s");
    // The server is limited but available, so its capacity must be used.
    assert!(most >= 20, "it got {most} in 4 s");
    assert_eq!(ends.served, ends.total(), "{ends:?}");
    assert!(unlimited.record.arrivals.lock().len() > ends.total() / 2);
}

// Guards against a restarted daemon that releases its queue before the limited server
// first answers, although the entries know the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_guard_keeps_the_limit() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let (limited, _unlimited) = (server(address).await, server(address).await);
    let entry = entry("till", address, 2).await;
    limited.record.set_answer_headers(&[("server-limit", "3")]);
    let start = Instant::now();
    let load = async |time| send_reads(&[&entry], "/read/late-", 100, time).await;
    load(PROPAGATION_TIME * 3).await;
    let limited = limited.restart().await;
    let announcing = async {
        eventually("the restarted daemon", || async {
            (limited.announce("ready", 2).await.status == 200).then_some(())
        })
        .await;
    };
    // Exceeds the capacity of the other server, so calls wait for this one.
    let (ends, ()) = tokio::join!(load(WINDOW), announcing);
    let again =
        limited
            .record
            .count_arrivals(start + PROPAGATION_TIME * 3, Instant::now(), &["till"]);
    assert!(again > 3, "it got {again} after the start");
    let most = limited
        .record
        .max_in_window(start + PROPAGATION_TIME, WINDOW, &["till"]);
    assert!(most <= max_requests(3.0), "it got {most} in 4 s");
    assert_eq!(ends.failed, 0, "{ends:?}");
}

/// A configuration in which `/read/` has a higher priority than `/low/`.
fn two_classes() -> String {
    let route = |path: &str, priority: u32| {
        format!(
            r#""r-{path}":{{"authority":"a.example","pathPrefix":"/{path}/",
            "routeType":"idempotent","timeoutS":4,"goalS":1,"priority":{priority},
            "upstream":"svc","attempts":2}}"#
        )
    };
    format!(
        r#"{{"version":7,"routes":{{{},{}}},
        "services":{{"svc":{{"healthPath":"/h","maxConns":100}}}}}}"#,
        route("read", 0),
        route("low", 2)
    )
}

// Guards against refusals that ignore the class, and against retry delays that end
// before there is capacity, when all servers of a service are limited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_over_all_limits_wait_and_are_refused_by_class() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &two_classes());
    let servers = [server(address).await, server(address).await];
    let origins = ["till", "desk"];
    let entries = [
        entry(origins[0], address, 2).await,
        entry(origins[1], address, 2).await,
    ];
    for server in &servers {
        server.record.set_answer_headers(&[("server-limit", "12")]);
    }
    let entries: Vec<_> = entries.iter().collect();
    let start = Instant::now();
    let time = WINDOW + PROPAGATION_TIME * 2;
    // Together the servers take 24 a second, plus one per class at the start.
    let (high, low) = tokio::join!(
        send_reads(&entries, "/read/", 18, time),
        send_reads(&entries, "/low/", 60, time)
    );
    assert!(high.served * 100 >= high.total() * 97, "{high:?}");
    assert!(low.served > 0 && low.refused * 2 > low.total(), "{low:?}");
    assert_eq!((high.failed, low.failed), (0, 0));
    assert!(
        low.retry_after.len() >= low.refused,
        "all get a retry delay"
    );
    for server in &servers {
        let most = server
            .record
            .max_in_window(start + PROPAGATION_TIME, WINDOW, &origins);
        assert!(most <= max_requests(12.0), "it got {most} in 4 s");
        let mut ids: Vec<_> = server
            .record
            .arrivals
            .lock()
            .iter()
            .map(|a| a.id.clone())
            .collect();
        let all = ids.len();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), all, "a call arrived twice");
    }
}

// Guards against a limit that stays in force after the server stopped naming it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_ends_when_answers_omit_it() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let limited = server(address).await;
    let entry = entry("till", address, 1).await;
    limited.record.set_answer_headers(&[("server-limit", "0")]);
    send_reads(&[&entry], "/read/a", 20, PROPAGATION_TIME).await;
    limited.record.set_answer_headers(&[]);
    // A server with limit 0 still gets an occasional request.
    eventually("the end of the limit", || async {
        entry.send(Method::GET, "/read/b", "b").await;
        limited.daemon.guard().gate().rate().is_none().then_some(())
    })
    .await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let ends = send_reads(&[&entry], "/read/c", 100, PROPAGATION_TIME).await;
    assert_eq!(ends.served, ends.total(), "{ends:?}");
}
