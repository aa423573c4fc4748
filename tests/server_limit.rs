//! Backend servers that name how many requests a second they take.
//!
//! The load answered here: a server in need names less than its slots would
//! let in, while the others of its service have room. Callers need the others
//! to take the rest at once; the server needs to get no more than it named,
//! summed over all entries, however fast it answers. The bounds are those of
//! the platform: one and a half times the limit and five in any four seconds.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bramleymount::policy::route::TargetState;
use support::eventually;
use support::hosted::{Vm, document, store, vm, vm_beside};
use support::load::reads;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after an entry has passed the word on it is bound by it.
const TOLD: Duration = Duration::from_millis(500);

/// Returns the most requests of a window that a limit allows.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

async fn server(store: SocketAddr) -> Vm {
    let server = vm("svc", store).await;
    server.announce("ready", 1).await;
    server
}

async fn entry(service: &str, store: SocketAddr, servers: usize) -> Vm {
    let entry = vm_beside(service, store).await;
    entry.wait_ready().await;
    let table = entry
        .daemon
        .shared()
        .routes
        .table(&"svc".parse().expect("a name"));
    eventually("the servers as targets", || async {
        let table = table.lock();
        let serving = table.targets().filter(|t| t.state == TargetState::Serving);
        (serving.count() == servers).then_some(())
    })
    .await;
    entry
}

// Guards against a limit that no daemon reads: 335 requests in 4 s reached a
// server that had named 23.3 a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn named_limit_bounds_what_the_server_gets_from_all_entries() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let (needy, sound) = (server(address).await, server(address).await);
    let origins = ["till", "desk"];
    let entries = [
        entry(origins[0], address, 2).await,
        entry(origins[1], address, 2).await,
    ];
    needy.seen.say(&[("server-limit", "10.0")]);
    let start = Instant::now();
    let entries: Vec<_> = entries.iter().collect();
    let ends = reads(&entries, 120, WINDOW + TOLD * 2).await;
    let most = needy.seen.most(start + TOLD, WINDOW, &origins);
    assert!(most <= allowed(10.0), "it got {most} in 4 s");
    // It is in need, not gone: what it takes is used.
    assert!(most >= 20, "it got {most} in 4 s");
    assert_eq!(ends.served, ends.all(), "{ends:?}");
    assert!(sound.seen.arrivals.lock().len() > ends.all() / 2);
}
