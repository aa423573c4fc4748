//! The store loses the answers to calls in progress, and works again afterwards.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bramleymount::policy::member::StoreRole;
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server, vm_without_server_with};
use support::rows::RowsStandIn;

/// How long the store works again before bounds on the configuration hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How soon a version must be in force from then on.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Starts daemons of one data centre; the first four are its delegates, and the others
/// learn of versions from them.
async fn daemons(platform: SocketAddr, count: usize) -> Vec<Vm> {
    let first = vm_without_server("svc", platform).await;
    let peers = first.daemon.shared().config.listen.peers;
    let settings = format!("neighbours: [\"{peers}\"]");
    let mut all = vec![first];
    for _ in 1..count {
        all.push(vm_without_server_with("svc", platform, &settings).await);
    }
    let delegates = count.min(4);
    eventually("delegates", || async {
        let is_delegate = |vm: &&Vm| *vm.daemon.shared().store_role.borrow() == StoreRole::Delegate;
        let known = all[0].daemon.shared().view.lock().members().len();
        let found = all.iter().filter(is_delegate).count();
        (known == count && found == delegates).then_some(())
    })
    .await;
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

/// Brings a version into force, so that all delegates query the feed at once.
async fn renew_feeds(rows: &Arc<RowsStandIn>, vms: &[Vm]) {
    rows.put("op", "config", &document(8, "svc", 2.0));
    in_force(vms, 8).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
}

/// Guards against daemons that keep an old configuration although the store works again,
/// since all of them wait for answers that were lost.
#[rstest]
#[case::at_once(Duration::from_millis(20))]
#[case::after_reads_were_lost_too(Duration::from_millis(4500))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_feed_answers_were_lost(#[case] silence: Duration) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vms = daemons(address, 6).await;
    in_force(&vms, 7).await;
    renew_feeds(&rows, &vms).await;
    rows.lose_answers_for(silence);
    tokio::time::sleep(silence + CONTACT_TIME).await;
    rows.put("op", "config", &document(11, "svc", 2.0));
    let acknowledged = Instant::now();
    in_force(&vms, 11).await;
    let elapsed = acknowledged.elapsed();
    assert!(elapsed < APPLY_TIME, "in force after {elapsed:?}");
}

/// Bounds what the guard against lost answers costs: a delegate makes at most one call
/// each two seconds while nothing changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feed_calls_without_changes() {
    const WATCHED: Duration = Duration::from_secs(8);
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vms = daemons(address, 6).await;
    in_force(&vms, 7).await;
    renew_feeds(&rows, &vms).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = rows.calls();
    tokio::time::sleep(WATCHED).await;
    let calls = rows.calls() - before;
    let most = 4 * WATCHED.as_secs() / 2;
    assert!(calls <= most, "{calls} calls of four delegates");
}
