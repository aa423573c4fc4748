//! A change of the configuration must not cause updates of members.
//!
//! The load is an estate of hundreds of VMs whose configuration changes every few
//! seconds. If each member advertised its version to all others, a version would
//! cost an entry of some 90 bytes for each member and neighbour, which grows with
//! the square of the estate. The figures behind this: 5,300 VMs, 5,600 changes a
//! day, and 3 KB a second of control traffic per daemon.

#![allow(missing_docs)]

mod support;

use bramleymount::model::Version;
use bramleymount::operator::StatusAnswer;
use http::{HeaderMap, Method, StatusCode};
use support::eventually;
use support::hosted::{Vm, document, store, vm};

async fn status(vm: &Vm) -> StatusAnswer {
    let url = format!("http://{}/v1/status", vm.operators);
    let answer = support::request(Method::GET, &url, HeaderMap::new(), "".into()).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    serde_json::from_slice(&answer.body).expect("a status")
}

async fn wait_version(vms: &[&Vm], version: u64) {
    eventually("the version", || async {
        let in_force = |vm: &&Vm| vm.daemon.shared().current.version().get() == version;
        vms.iter().all(in_force).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_change_causes_no_member_updates() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let (one, other) = (vm("svc", address).await, vm("svc", address).await);
    wait_version(&[&one, &other], 7).await;
    eventually("both members", || async {
        let known = |vm: &Vm| vm.daemon.shared().view.lock().members().count() == 2;
        (known(&one) && known(&other)).then_some(())
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    let changes = || one.daemon.shared().view.lock().change();
    let before = changes();
    for version in 8..12 {
        rows.put("op", "config", &document(version, "svc", 5.0));
        wait_version(&[&one, &other], version).await;
    }
    tokio::time::sleep(std::time::Duration::from_millis(1500)).await;
    assert_eq!(changes(), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_queries_the_version_of_each_member() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 5.0));
    let (one, other) = (vm("svc", address).await, vm("svc", address).await);
    wait_version(&[&one, &other], 7).await;
    rows.put("op", "config", &document(9, "svc", 5.0));
    wait_version(&[&one, &other], 9).await;
    eventually("all versions", || async {
        let answer = status(&one).await;
        let is_new = |m: &bramleymount::operator::MemberStatus| m.version == Some(Version::new(9));
        (answer.members.len() == 2 && answer.members.iter().all(is_new)).then_some(())
    })
    .await;
    let stopped = other.daemon.shared().instance;
    assert!(other.daemon.stop().await);
    let answer = status(&one).await;
    let line = answer.members.iter().find(|line| line.instance == stopped);
    assert_eq!(line.expect("a line").version, None);
}
