//! The client of the platform's store against an HTTP stand-in.

#![allow(missing_docs)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use bramleymount::emulator::free_address;
use bramleymount::platform::RowStore;
use bramleymount::store::{
    Condition, Feed, FeedError, ObjectStore, Revision, TableStore, WriteError, WriteOutcome,
    write_with_retry,
};
use bramleymount::web::HttpListener;
use rstest::rstest;
use support::rows::{RowsFault, RowsStandIn};

/// Short, so that tests of missing answers end soon.
const TIMEOUT: Duration = Duration::from_millis(300);

async fn store() -> (RowStore, Arc<RowsStandIn>, HttpListener) {
    let address = free_address().expect("a port");
    let (rows, listening) = RowsStandIn::start(address).await;
    (RowStore::new(address, TIMEOUT), rows, listening)
}

#[tokio::test]
async fn write_checks_condition() {
    let (store, _rows, _listening) = store().await;
    let key = "member/10.0.0.1:80";
    assert_eq!(store.read(key).await.expect("a read"), None);
    let first = store.write(key, Condition::Absent, "a".into()).await;
    let first = first.expect("a write");
    let row = store.read(key).await.expect("a read").expect("a row");
    assert_eq!((row.revision, &*row.content), (first, &b"a"[..]));
    match store.write(key, Condition::Absent, "b".into()).await {
        Err(WriteError::Conflict(Some(found))) => assert_eq!(found, row),
        other => panic!("{other:?}"),
    }
    let next = store
        .write(key, Condition::Revision(first), "b".into())
        .await;
    assert!(next.expect("a write") > first);
    let old = store.delete(key, first).await;
    assert!(matches!(old, Err(WriteError::Conflict(Some(_)))), "{old:?}");
}

#[tokio::test]
async fn scan_reads_all_pages() {
    let (store, _rows, _listening) = store().await;
    let keys: Vec<String> = (0..7).map(|n| format!("member/{n}")).collect();
    for key in &keys {
        let wrote = store.write(key, Condition::Absent, "x".into()).await;
        wrote.expect("a write");
    }
    store
        .write("other/1", Condition::Absent, "x".into())
        .await
        .expect("a write");
    let rows = store.scan("member/").await.expect("a scan");
    let found: Vec<&str> = rows.iter().map(|row| &*row.key).collect();
    assert_eq!(found, keys);
}

#[tokio::test]
async fn changes_return_on_first_change() {
    let (store, rows, _listening) = store().await;
    rows.put("op", "config", "one");
    let first = store
        .read("op/config")
        .await
        .expect("a read")
        .expect("a row");
    let wait = Duration::from_secs(5);
    let pending = store.changes("op", first.revision, wait);
    let write = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        rows.put("op", "config", "two");
    };
    let (changes, ()) = tokio::join!(pending, write);
    let changes = changes.expect("changes");
    let row = changes.changes[0].row.as_ref().expect("a row");
    assert_eq!((&*row.key, &*row.content), ("op/config", &b"two"[..]));
    let none = store
        .changes("op", changes.revision, Duration::from_millis(10))
        .await;
    assert!(none.expect("changes").changes.is_empty());
}

#[tokio::test]
async fn changes_include_deleted_rows() {
    let (store, _rows, _listening) = store().await;
    let at = store.write("t/a", Condition::Absent, "x".into()).await;
    let at = at.expect("a write");
    store.delete("t/a", at).await.expect("a delete");
    let changes = store.changes("t", at, Duration::from_millis(10)).await;
    assert_eq!(changes.expect("changes").changes[0].row, None);
}

#[tokio::test]
async fn changes_after_expired_history() {
    let (store, rows, _listening) = store().await;
    rows.set_fault(RowsFault::HistoryExpired);
    let changes = store.changes("op", Revision(1), TIMEOUT).await;
    assert_eq!(changes, Err(FeedError::HistoryExpired));
}

#[rstest]
#[case::busy(RowsFault::Busy, false)]
#[case::silent(RowsFault::Silent, true)]
#[case::lost(RowsFault::LoseAnswers, true)]
#[tokio::test]
async fn write_error_by_trouble(#[case] trouble: RowsFault, #[case] unknown: bool) {
    let (store, rows, _listening) = store().await;
    rows.set_fault(trouble);
    match store.write("t/a", Condition::Absent, "x".into()).await {
        Err(WriteError::Unknown(_)) => assert!(unknown),
        Err(WriteError::NotSent(_)) => assert!(!unknown),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn write_with_retry_after_lost_answer() {
    let (store, rows, _listening) = store().await;
    rows.set_fault(RowsFault::LoseAnswers);
    let recovery = async {
        tokio::time::sleep(TIMEOUT / 2).await;
        rows.set_fault(RowsFault::None);
    };
    let outcome = write_with_retry(&store, "t/a", Condition::Absent, "x".into());
    let (outcome, ()) = tokio::join!(outcome, recovery);
    assert!(matches!(outcome, WriteOutcome::Written(_)), "{outcome:?}");
}

#[tokio::test]
async fn put_existing_object() {
    let (store, _rows, _listening) = store().await;
    assert_eq!(store.get("a b").await.expect("a read"), None);
    for content in ["one", "one"] {
        store.put("a b", content.into()).await.expect("a write");
    }
    let found = store.get("a b").await.expect("a read").expect("an object");
    assert_eq!(&*found, b"one");
}

#[rstest]
#[case::no_base64(r#"{"tableName":"member","part":"","key":"5","value":"%%","ver":3}"#)]
#[case::value_of_other_type(r#"{"tableName":"member","part":"","key":"5","value":7,"ver":3}"#)]
#[case::no_key(r#"{"tableName":"member","value":"eA==","ver":3}"#)]
#[case::version_of_other_type(r#"{"tableName":"member","key":"5","value":"eA==","ver":"x"}"#)]
#[case::no_object("17")]
#[tokio::test]
async fn scan_skips_invalid_row(#[case] row: &str) {
    let (store, rows, _listening) = store().await;
    for name in ["member/1", "member/9"] {
        let wrote = store.write(name, Condition::Absent, "x".into()).await;
        wrote.expect("a write");
    }
    rows.put_raw("member", "5", row);
    let found = store.scan("member/").await.expect("a scan");
    let keys: Vec<&str> = found
        .iter()
        .filter(|row| *row.content == *b"x")
        .map(|row| &*row.key)
        .collect();
    assert_eq!(keys, ["member/1", "member/9"]);
}

#[tokio::test]
async fn changes_skip_invalid_row() {
    let (store, rows, _listening) = store().await;
    rows.put_raw(
        "op",
        "bad",
        r#"{"tableName":"op","key":"bad","value":[],"ver":1}"#,
    );
    rows.put("op", "config", "x");
    let wait = Duration::from_millis(100);
    let changes = store.changes("op", Revision(0), wait).await;
    let changes = changes.expect("changes").changes;
    let config = changes.iter().find(|change| &*change.key == "op/config");
    let row = config.and_then(|change| change.row.as_ref());
    assert_eq!(&*row.expect("a row").content, b"x");
}

#[tokio::test]
async fn scan_continues_after_invalid_page() {
    let (store, rows, _listening) = store().await;
    for name in ["1", "2", "3", "4"] {
        let raw = format!(r#"{{"tableName":"member","key":"{name}","ver":"x"}}"#);
        rows.put_raw("member", name, &raw);
    }
    let wrote = store.write("member/5", Condition::Absent, "x".into());
    wrote.await.expect("a write");
    let found = store.scan("member/").await.expect("a scan");
    assert_eq!(found.len(), 1);
}
