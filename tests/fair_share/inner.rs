//! Onward calls of backend servers are charged to the workspace of their root call.

use std::collections::BTreeSet;

use http::{Method, StatusCode};

use super::support::eventually;
use super::support::hosted::{Vm, keyed_document, store, vm_with};

const ONE_WORKSPACE: &str = r#"{"north":{"apiKeys":["key-north"],"priority":1}}"#;
/// Enough calls for both servers to get some.
const ONWARD_CALLS: usize = 40;

fn charged(vm: &Vm) -> BTreeSet<Box<str>> {
    let rows = vm.daemon.guard().usages();
    rows.into_iter().map(|row| row.name).collect()
}

#[tokio::test]
async fn onward_calls_are_charged_to_workspace_of_root() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &keyed_document(7, "svc", ONE_WORKSPACE));
    let vm = || vm_with("svc", address, "fair: true");
    let vms = [vm().await, vm().await];
    for vm in &vms {
        vm.wait_ready().await;
        vm.announce("ready", 1).await;
    }
    for vm in &vms {
        eventually("both servers as targets", || async {
            let service = "svc".parse().expect("a name");
            let table = vm.daemon.shared().targets.table(&service);
            let known = table.lock().targets().count();
            (known == 2).then_some(())
        })
        .await;
    }
    let key = [("api-key", "key-north")];
    let root = vms[0].send_with(Method::GET, "/read/slow", "r1", &key);
    let onward = async {
        let (vm, id) = eventually("the root call runs", || async {
            let seen = vms.iter().find(|vm| !vm.record.runs.lock().is_empty())?;
            let id = seen.record.runs.lock()[0].0.clone();
            Some((seen, id))
        })
        .await;
        for n in 0..ONWARD_CALLS {
            let id = format!("{id}.{n}");
            let answer = vm.send_with(Method::GET, "/open/x", &id, &[]).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
    };
    tokio::join!(root, onward);
    let north = BTreeSet::from(["north".into()]);
    for vm in &vms {
        assert_eq!(charged(vm), north);
    }
    let answer = vms[0].send_with(Method::GET, "/open/x", "r2", &[]).await;
    assert_eq!(answer.status, StatusCode::OK);
    let nobody = |vm: &Vm| charged(vm).contains("");
    assert!(vms.iter().any(nobody));
}
