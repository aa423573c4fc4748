//! Budgets of log lines about single calls.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::tables::{CallLogLimiter, LineKind, SuppressedLines};
use rstest::rstest;

/// More lines than any budget has at once.
const MANY_LINES: usize = 5000;

const KINDS: [LineKind; 4] = [
    LineKind::Refused,
    LineKind::Sent,
    LineKind::Dropped,
    LineKind::Stopping,
];

fn take_all(limiter: &CallLogLimiter, kind: LineKind) -> usize {
    (0..MANY_LINES).filter(|_| limiter.try_take(kind)).count()
}

#[rstest]
#[case::refused(LineKind::Refused, 200, 50)]
#[case::sent(LineKind::Sent, 200, 50)]
#[case::dropped(LineKind::Dropped, 100, 20)]
#[case::stopping(LineKind::Stopping, 1000, 200)]
#[tokio::test(start_paused = true)]
async fn budget_is_bounded(#[case] kind: LineKind, #[case] burst: usize, #[case] per_s: usize) {
    let limiter = CallLogLimiter::default();
    assert_eq!(take_all(&limiter, kind), burst);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(take_all(&limiter, kind), per_s);
}

#[rstest]
#[case::refused(LineKind::Refused)]
#[case::sent(LineKind::Sent)]
#[case::dropped(LineKind::Dropped)]
#[case::stopping(LineKind::Stopping)]
#[tokio::test(start_paused = true)]
async fn budget_spent_leaves_others(#[case] spent: LineKind) {
    let limiter = CallLogLimiter::default();
    take_all(&limiter, spent);
    assert!(!limiter.try_take(spent));
    for other in KINDS.into_iter().filter(|kind| *kind != spent) {
        assert!(limiter.try_take(other), "{other:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn suppressed_lines_are_counted_by_kind() {
    let limiter = CallLogLimiter::default();
    let written = KINDS.map(|kind| take_all(&limiter, kind));
    let [refused, sent, dropped, stopping] = written.map(|count| (MANY_LINES - count) as u64);
    let suppressed = limiter.take_suppressed();
    assert_eq!(
        suppressed,
        SuppressedLines {
            refused,
            sent,
            dropped,
            stopping
        }
    );
    assert_eq!(suppressed.total(), refused + sent + dropped + stopping);
    assert_eq!(limiter.take_suppressed(), SuppressedLines::default());
}
