//! Propagation of a configuration version past silent daemons.
//!
//! If a daemon waits for its slowest neighbour before the next gossip round, one
//! that lost power delays updates by up to a second at each step. Half of an estate
//! may lose power at once, and operators require a version to be in force within
//! two seconds.

#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use bramleymount::policy::member::{Incarnation, Member, MemberState};
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server, vm_without_server_with};

/// Maximum time for an update to pass between neighbours: twice the time for which
/// updates are gathered, and a margin for a busy machine.
const MAX_STEP: Duration = Duration::from_millis(400);

fn silent_member(listener: &TcpListener) -> Member {
    let address = listener.local_addr().expect("an address");
    Member {
        instance: format!("{address}@1").parse().expect("an instance"),
        centre: "hall-a".parse().expect("a name"),
        service: "svc".parse().expect("a name"),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        slots: None,
    }
}

async fn in_force(vm: &Vm, version: u64) {
    eventually("the version", || async {
        let current = vm.daemon.shared().current.version().get();
        (current == version).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_passes_a_silent_neighbour() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(1, "svc", 2.0));
    let sender = vm_without_server("svc", address).await;
    in_force(&sender, 1).await;
    let peers = sender.daemon.shared().config.listen.peers;
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let receiver =
        vm_without_server_with("svc", nowhere, &format!("neighbours: [\"{peers}\"]")).await;
    in_force(&receiver, 1).await;
    // Accepts connections but never answers.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    for vm in [&sender, &receiver] {
        let mut view = vm.daemon.shared().view.lock();
        view.merge(tokio::time::Instant::now(), silent_member(&listener));
    }
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for version in 2..6 {
        rows.put("op", "config", &document(version, "svc", 2.0));
        in_force(&sender, version).await;
        let known = Instant::now();
        in_force(&receiver, version).await;
        assert!(known.elapsed() < MAX_STEP, "{:?}", known.elapsed());
    }
}
