//! Daemons that start while the stored rows still name others that are gone.
//!
//! Guards against daemons that gossip only with members that are gone, one after
//! the other for four seconds each, until these are marked silent. When a whole
//! estate was killed and started at other addresses, some entries knew no server
//! for ten seconds and refused all calls.

#![allow(missing_docs)]

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use bramleymount::policy::member::{Incarnation, Member, MemberState};
use futures_util::future::join_all;
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, document, store, vm_without_server};

/// How long daemons that run may take to be in contact with each other, as
/// required by the operators.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const DAEMONS: usize = 4;

/// Returns a member at a port that nothing listens on any more.
fn gone_member() -> Member {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
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

fn knows(vm: &Vm, other: &Vm) -> bool {
    let view = vm.daemon.shared().view.lock();
    let instance = other.daemon.shared().instance;
    let found = view.at(instance.address);
    found.is_some_and(|member| member.instance == instance)
}

#[rstest]
#[case::few_gone(5)]
#[case::many_gone(12)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_find_each_other_beside_gone_ones(#[case] gone: usize) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(1, "svc", 2.0));
    let gone: Vec<Member> = (0..gone).map(|_| gone_member()).collect();
    let began = Instant::now();
    let vms = join_all((0..DAEMONS).map(|_| vm_without_server("svc", address))).await;
    for vm in &vms {
        let mut view = vm.daemon.shared().view.lock();
        view.merge_all(tokio::time::Instant::now(), gone.iter().cloned());
    }
    eventually("all daemons", || async {
        let all = |vm| vms.iter().all(|other| knows(vm, other));
        vms.iter().all(all).then_some(())
    })
    .await;
    let time = began.elapsed();
    assert!(time <= CONTACT_TIME, "after {time:?}");
}
