//! The store is restored from a copy some seconds old: the writes since the copy
//! are lost, and their revisions are given out again.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use support::eventually;
use support::hosted::{Vm, document, store, vm};
use support::rows::RowsFault;

async fn in_force(vm: &Vm, version: u64) {
    eventually("the version", || async {
        let current = vm.daemon.shared().current.version().get();
        (current == version).then_some(())
    })
    .await;
}

/// The version in force stays after a restore, and later versions are applied
/// although their revisions were given out before.
#[rstest]
#[case::after_an_outage(true)]
#[case::at_once(false)]
#[tokio::test]
async fn configuration_survives_restore_and_advances(#[case] outage: bool) {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    rows.take_snapshot();
    // Other writers use up revisions, which are given out again after the restore.
    for place in 0..8 {
        rows.put("op", &format!("other-{place}"), "x");
    }
    rows.put("op", "config", &document(9, "svc", 2.0));
    in_force(&vm, 9).await;
    if outage {
        rows.set_fault(RowsFault::Busy);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    rows.restore();
    rows.set_fault(RowsFault::None);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let answer = vm.send(Method::GET, "/read/x", "r1").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(vm.daemon.shared().current.version().get(), 9);
    // The operator writes the lost version again, then a later one.
    rows.put("op", "config", &document(9, "svc", 2.0));
    rows.put("op", "config", &document(11, "svc", 2.0));
    let sent = std::time::Instant::now();
    in_force(&vm, 11).await;
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "{:?}",
        sent.elapsed()
    );
}

/// So many revisions are given out again, before a daemon queries the feed, that
/// its position is valid again. The store then can't report the position as
/// unknown, and the change of the configuration lies before it.
#[tokio::test]
async fn change_before_the_feed_position_is_found() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    rows.take_snapshot();
    rows.put("op", "other", "x");
    rows.put("op", "other", "y");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let later = document(9, "svc", 2.0);
    let puts = [
        ("op", "config", &*later),
        ("op", "a", "x"),
        ("op", "b", "x"),
        ("op", "c", "x"),
    ];
    rows.restore_and_put(&puts);
    let sent = std::time::Instant::now();
    in_force(&vm, 9).await;
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "{:?}",
        sent.elapsed()
    );
}

/// A member row that a restore removed is written again.
#[tokio::test]
async fn member_row_is_written_again() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    rows.take_snapshot();
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    vm.announce("ready", 1).await;
    eventually("the row", || async {
        (rows.row_names("member").len() == 1).then_some(())
    })
    .await;
    rows.restore();
    assert!(rows.row_names("member").is_empty());
    // The daemon sees the new era in the next answer of the store.
    rows.put("op", "other", "x");
    let gone = std::time::Instant::now();
    eventually("the row", || async {
        (rows.row_names("member").len() == 1).then_some(())
    })
    .await;
    assert!(
        gone.elapsed() < Duration::from_secs(2),
        "{:?}",
        gone.elapsed()
    );
}

/// A daemon follows the store through two restores.
#[tokio::test]
async fn store_restored_twice_is_followed() {
    let (address, rows, _listening) = store().await;
    rows.put("op", "config", &document(7, "svc", 2.0));
    rows.take_snapshot();
    let vm = vm("svc", address).await;
    vm.wait_ready().await;
    for version in [8, 9] {
        rows.put("op", "config", &document(version, "svc", 2.0));
        in_force(&vm, version).await;
        rows.restore();
        tokio::time::sleep(Duration::from_millis(300)).await;
        rows.put("op", "config", &document(version, "svc", 2.0));
    }
    rows.put("op", "config", &document(10, "svc", 2.0));
    in_force(&vm, 10).await;
}
