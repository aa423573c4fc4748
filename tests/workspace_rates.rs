//! Rate limits of workspaces whose callers use several daemons.

#![allow(missing_docs)]

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use support::hosted::{Vm, keyed_document, store, vm};

/// Five requests per second with a burst of five.
const FIVE_PER_S: &str = r#"{"north":{"apiKeys":["key-north"],"ratePerS":5,"burst":5},
    "south":{"apiKeys":["key-south"]}}"#;

/// Requests tolerated beyond rate and burst, by the default of the settings.
const TOLERATED_REQUESTS: f64 = 10.0;

async fn estate(
    workspaces: &str,
) -> (
    Vec<Vm>,
    impl Sized,
    std::sync::Arc<support::rows::RowsStandIn>,
) {
    let (address, rows, listening) = store().await;
    rows.put("op", "config", &keyed_document(7, "svc", workspaces));
    let vms = vec![
        vm("svc", address).await,
        vm("svc", address).await,
        vm("svc", address).await,
    ];
    for vm in &vms {
        vm.wait_ready().await;
        vm.announce("ready", 1).await;
    }
    for vm in &vms {
        support::eventually("all members", || async {
            let members = vm.daemon.shared().view.lock().members().count();
            (members == 3).then_some(())
        })
        .await;
    }
    (vms, listening, rows)
}

fn runs(vms: &[Vm]) -> usize {
    vms.iter().map(|vm| vm.record.runs.lock().len()).sum()
}

#[tokio::test]
async fn rate_holds_across_daemons_and_refusals_name_retry_time() {
    let (vms, _listening, _rows) = estate(FIVE_PER_S).await;
    let key = [("api-key", "key-north")];
    let started_at = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while started_at.elapsed() < Duration::from_secs(3) {
        let requests = vms
            .iter()
            .map(|vm| vm.send_with(Method::GET, "/read/x", "r1", &key));
        for answer in join_all(requests).await {
            match answer.status {
                StatusCode::OK => served += 1,
                StatusCode::TOO_MANY_REQUESTS => {
                    refused += 1;
                    let after = answer.headers["retry-after"].to_str().expect("a text");
                    let after: f64 = after.parse().expect("seconds");
                    assert!((0.01..=4.0).contains(&after), "{after}");
                }
                other => panic!("{other}"),
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let allowed = 5.0 * started_at.elapsed().as_secs_f64() + 5.0 + TOLERATED_REQUESTS;
    assert!(f64::from(served) <= allowed, "{served} of {allowed}");
    assert!(
        served >= 5 * 3 - 5,
        "{served} served of a rate of five a second"
    );
    assert!(refused > 0);
    assert_eq!(runs(&vms), served as usize);
    let count = vms[0].daemon.shared().rates.counts(1);
    assert_eq!(count[0].workspace.as_str(), "north");
    assert!(count[0].refused > 0);
}

#[tokio::test]
async fn workspace_without_rate_is_unlimited() {
    let (vms, _listening, _rows) = estate(FIVE_PER_S).await;
    let key = [("api-key", "key-south")];
    for _ in 0..60 {
        let answer = vms[0].send_with(Method::GET, "/read/x", "r1", &key).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn rate_follows_configuration_in_force() {
    let (vms, _listening, rows) = estate(FIVE_PER_S).await;
    let key = [("api-key", "key-north")];
    let more = FIVE_PER_S.replace(r#""ratePerS":5,"burst":5"#, r#""ratePerS":500,"burst":500"#);
    rows.put("op", "config", &keyed_document(8, "svc", &more));
    support::eventually("the new version", || async {
        let is_applied = vms
            .iter()
            .all(|vm| vm.daemon.shared().current.version().get() == 8);
        is_applied.then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut refused = 0;
    for _ in 0..100 {
        let answer = vms[1].send_with(Method::GET, "/read/x", "r1", &key).await;
        refused += u32::from(answer.status == StatusCode::TOO_MANY_REQUESTS);
    }
    assert!(refused <= 2, "{refused} refused within the new rate");
}

/// A request that no backend server received uses no credit of the workspace.
#[tokio::test]
async fn refusal_for_other_reason_refunds_credit() {
    let (vms, _listening, _rows) = estate(FIVE_PER_S).await;
    let key = [("api-key", "key-north")];
    for _ in 0..60 {
        let answer = vms[0]
            .send_with(Method::GET, "/read/shed", "r1", &key)
            .await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(runs(&vms), 0);
}

/// Kills the coordinator of the workspace. The other daemons keep admitting their
/// shares and don't keep requests waiting for it.
#[tokio::test]
async fn rate_holds_after_coordinator_is_killed() {
    let (mut vms, _listening, _rows) = estate(FIVE_PER_S).await;
    let key = [("api-key", "key-north")];
    // A new coordinator does not know what credit its predecessor granted.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for vm in &vms {
        let answer = vm.send_with(Method::GET, "/read/x", "r1", &key).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    let name = "north".parse().expect("a name");
    let coordinator = vms[0].daemon.shared().ring().coordinator(&name);
    let address = coordinator.expect("a coordinator").address;
    let index = vms
        .iter()
        .position(|vm| vm.daemon.shared().instance.address == address);
    let killed = vms.remove(index.expect("a VM"));
    killed.daemon.kill();
    let started_at = Instant::now();
    let mut served = 0;
    while started_at.elapsed() < Duration::from_secs(4) {
        let sent = Instant::now();
        let answer = vms[0].send_with(Method::GET, "/read/x", "r1", &key).await;
        assert!(
            sent.elapsed() < Duration::from_secs(1),
            "held for {:?}",
            sent.elapsed()
        );
        served += u32::from(answer.status == StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served >= 3, "{served} served while the coordinator is gone");
    let allowed = 5.0 * started_at.elapsed().as_secs_f64() + 5.0 + TOLERATED_REQUESTS;
    assert!(f64::from(served) <= allowed, "{served} of {allowed}");
}
