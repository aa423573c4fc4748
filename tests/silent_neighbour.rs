//! A version of the configuration on its way past daemons that are silent.
//!
//! Seen in the code: a daemon asked all its neighbours and waited for the slowest
//! before it asked again. One that had lost power took a second each time, so that
//! news waited up to a second at each step, while half of an estate may be without
//! power at once. The operators give a version two seconds to be in force.

#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use bramleymount::policy::member::{Incarnation, Member, MemberState};
use support::eventually;
use support::hosted::{Vm, document, store, vm_beside, vm_beside_with};

/// Longest time of one step between neighbours: what news is gathered for, twice,
/// and room for a busy machine.
const STEP: Duration = Duration::from_millis(400);

fn silent(listener: &TcpListener) -> Member {
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
    let teller = vm_beside("svc", address).await;
    in_force(&teller, 1).await;
    let peers = teller.daemon.shared().config.listen.peers;
    let nowhere = "127.0.0.1:1".parse().expect("an address");
    let told = vm_beside_with("svc", nowhere, &format!("neighbours: [\"{peers}\"]")).await;
    in_force(&told, 1).await;
    // Accepts connections, and never answers.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    for vm in [&teller, &told] {
        let mut view = vm.daemon.shared().view.lock();
        view.merge(tokio::time::Instant::now(), silent(&listener));
    }
    tokio::time::sleep(Duration::from_millis(1200)).await;
    for version in 2..6 {
        rows.put("op", "config", &document(version, "svc", 2.0));
        in_force(&teller, version).await;
        let known = Instant::now();
        in_force(&told, version).await;
        assert!(known.elapsed() < STEP, "{:?}", known.elapsed());
    }
}
