//! API keys of workspaces: who may call, and which headers the backend server gets.

#![allow(missing_docs)]

mod support;

use http::{Method, StatusCode};
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, keyed_document, store, vm};

const TWO_WORKSPACES: &str = r#"{"north":{"apiKeys":["key-north-1","key-north-2"],"priority":1},
    "south_2":{"apiKeys":["key-south"],"priority":1}}"#;

async fn started(workspaces: &str) -> (Vm, impl Sized, std::sync::Arc<support::rows::RowsStandIn>) {
    let (address, rows, listening) = store().await;
    rows.put("op", "config", &keyed_document(7, "svc", workspaces));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    (vm, listening, rows)
}

#[rstest]
#[case::first_key("key-north-1", "north")]
#[case::second_key("key-north-2", "north")]
#[case::other_workspace("key-south", "south_2")]
#[tokio::test]
async fn api_key_sets_tenant_header_and_is_not_forwarded(
    #[case] key: &str,
    #[case] workspace: &str,
) {
    let (vm, _listening, _rows) = started(TWO_WORKSPACES).await;
    let sent = [("api-key", key), ("x-tenant", "forged"), ("x-kept", "1")];
    let answer = vm.send_with(Method::GET, "/read/x", "r1", &sent).await;
    assert_eq!(answer.status, StatusCode::OK);
    let heads = vm.record.run_headers.lock().clone();
    assert_eq!(heads[0].get_all("x-tenant").iter().count(), 1);
    assert_eq!(heads[0]["x-tenant"], workspace);
    assert_eq!(heads[0]["x-kept"], "1");
    assert!(!heads[0].contains_key("api-key"));
}

#[rstest]
#[case::unknown("/read/x", &[("api-key", "nobody's")], 401)]
#[case::missing("/read/x", &[], 401)]
#[case::empty("/read/x", &[("api-key", "")], 401)]
#[case::name_of_a_workspace("/read/x", &[("api-key", "north"), ("x-tenant", "north")], 401)]
#[case::claims_to_be_a_call_of_the_server("/read/x", &[("x-request-id", "r1.2")], 401)]
#[case::public("/open/x", &[("x-tenant", "north")], 200)]
#[case::public_with_unknown_key("/open/x", &[("api-key", "nobody's")], 200)]
#[case::no_route("/nothing/x", &[("api-key", "key-south")], 404)]
#[tokio::test]
async fn api_key_decides_who_may_call(
    #[case] path: &str,
    #[case] sent: &[(&'static str, &str)],
    #[case] status: u16,
) {
    let (vm, _listening, _rows) = started(TWO_WORKSPACES).await;
    let answer = vm.send_with(Method::GET, path, "r1", sent).await;
    assert_eq!(answer.status.as_u16(), status);
    let heads = vm.record.run_headers.lock().clone();
    assert_eq!(heads.len(), usize::from(status == 200));
    for head in heads {
        assert!(!head.contains_key("api-key"));
        assert!(!head.contains_key("x-tenant"));
    }
}

#[tokio::test]
async fn request_without_configuration_is_unavailable() {
    let (address, rows, _listening) = store().await;
    let vm = vm("svc", address).await;
    let sent = [("api-key", "key-south")];
    let answer = vm.send_with(Method::GET, "/read/x", "r1", &sent).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    rows.put("op", "config", &keyed_document(7, "svc", TWO_WORKSPACES));
    vm.wait_ready().await;
}

#[rstest]
#[case::no_keys_left(r#"{"north":{"apiKeys":[]},"south_2":{"apiKeys":["key-south"]}}"#)]
#[case::workspace_gone(r#"{"south_2":{"apiKeys":["key-south"]}}"#)]
#[case::all_gone("{}")]
#[tokio::test]
async fn removed_api_key_is_refused(#[case] later: &str) {
    let (vm, _listening, rows) = started(TWO_WORKSPACES).await;
    let sent = [("api-key", "key-north-1")];
    let send_request = || vm.send_with(Method::GET, "/read/x", "r1", &sent);
    assert_eq!(send_request().await.status, StatusCode::OK);
    rows.put("op", "config", &keyed_document(8, "svc", later));
    eventually("the key is refused", || async {
        (send_request().await.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await;
    // An older version that arrives late doesn't restore the key.
    rows.put("op", "config", &keyed_document(7, "svc", TWO_WORKSPACES));
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(send_request().await.status, StatusCode::UNAUTHORIZED);
}
