//! Number of calls that an estate makes to the platform's store.
//!
//! Calls to the store are billed. If each of 983 daemons makes about 22 calls on a
//! quiet day, for member rows, suspects and the configuration, they cost more than
//! the traffic earns. As `docs/CAPACITY.md` states, only a few daemons of a data
//! centre use the store; the others learn everything from their neighbours.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bramleymount::policy::member::StoreRole;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server, vm_without_server_with};
use support::rows::RowsStandIn;

/// Daemons that use the store: the delegates, and the one that starts first and
/// alone.
const STORE_USERS: u64 = 4 + 1;
/// Calls of one of them at its start: its row, the rows of the others in pages of
/// two, suspects, the configuration and its feed.
const CALLS_AT_START: u64 = 12;
/// Reads of the configuration by daemons that do not have it yet: four every
/// quarter of a second, until a neighbour sends it.
const FIRST_READS: u64 = 16;
/// How soon a version must be in force, as operators require.
const APPLY_TIMEOUT: Duration = Duration::from_secs(4);

async fn estate(platform: SocketAddr, members: usize) -> Vec<Vm> {
    let first = vm_without_server("svc", platform).await;
    let peers = first.daemon.shared().config.listen.peers;
    let settings = format!("neighbours: [\"{peers}\"]");
    let mut all = vec![first];
    for _ in 1..members {
        all.push(vm_without_server_with("svc", platform, &settings).await);
    }
    all
}

async fn in_force(vms: &[Vm], version: u64) {
    for vm in vms {
        eventually("the version", || async {
            let current = vm.daemon.shared().current.version().get();
            (current == version).then_some(())
        })
        .await;
    }
}

async fn all_known(vms: &[Vm]) {
    for vm in vms {
        eventually("all members", || async {
            let known = vm.daemon.shared().view.lock().members().len();
            (known == vms.len()).then_some(())
        })
        .await;
    }
}

async fn settled(vms: &[Vm]) {
    in_force(vms, 7).await;
    all_known(vms).await;
    eventually("delegates", || async {
        let acts = |vm: &&Vm| *vm.daemon.shared().store_role.borrow() == StoreRole::Delegate;
        (vms.iter().filter(acts).count() == 4).then_some(())
    })
    .await;
    // Lets new delegates finish their first calls.
    tokio::time::sleep(Duration::from_secs(1)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_and_change_of_many_daemons_need_calls_of_few() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vms = estate(address, 24).await;
    settled(&vms).await;
    let at_start = rows.calls();
    let most = STORE_USERS * CALLS_AT_START + FIRST_READS;
    assert!(
        at_start <= most,
        "{at_start} calls at the start, not {most}"
    );
    assert!(rows.row_names("member").len() as u64 <= STORE_USERS);
    for vm in &vms {
        assert!(vm.is_ready().await);
    }
    let changed = Instant::now();
    rows.put("op", "config", &document(9, "svc", 2.0));
    in_force(&vms, 9).await;
    assert!(changed.elapsed() < APPLY_TIMEOUT, "{:?}", changed.elapsed());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let at_change = rows.calls() - at_start;
    assert!(
        at_change <= 3 * STORE_USERS,
        "{at_change} calls for a change"
    );
}

/// All delegates of a data centre are lost at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_all_delegates_were_lost() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vms = estate(address, 10).await;
    settled(&vms).await;
    let acts = |vm: &Vm| vm.daemon.shared().store_role.borrow().uses_store();
    let (lost, left): (Vec<Vm>, Vec<Vm>) = vms.into_iter().partition(acts);
    assert!(left.len() >= 5);
    for vm in lost {
        vm.daemon.kill();
    }
    rows.put("op", "config", &document(9, "svc", 2.0));
    in_force(&left, 9).await;
}

/// A daemon that no other answers uses the store for itself.
#[tokio::test]
async fn change_is_in_force_at_an_isolated_daemon() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm_without_server_with("svc", address, "neighbours: [\"127.0.0.1:1\"]").await;
    let vms = [vm];
    in_force(&vms, 7).await;
    rows.put("op", "config", &document(9, "svc", 2.0));
    in_force(&vms, 9).await;
    single_member_row(&rows).await;
}

async fn single_member_row(rows: &RowsStandIn) {
    eventually("its row", || async {
        (rows.row_names("member").len() == 1).then_some(())
    })
    .await;
}
