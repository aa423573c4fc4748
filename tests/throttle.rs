//! The rate of calls to a backend server that has requested one.
//!
//! Guards against sending an overloaded server more than it requested, leaving the
//! rate unused, and missing its end. The server requests a rate far below its slots,
//! changes and withdraws it, and its answers arrive out of order. The platform's bound
//! is one and a half times the rate plus five calls in any 4 s.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{Rate, RequestedRate};
use bramleymount::policy::admission::Throttle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

fn requested(requests: f64) -> RequestedRate {
    RequestedRate::Some(Rate::per_second(requests))
}

/// Starts calls whenever the throttle lets it, from `now` on.
fn start_all(throttle: &mut Throttle, mut now: Instant, time: Duration) -> Vec<Instant> {
    let end = now + time;
    let mut starts = Vec::new();
    while now < end {
        while throttle.is_open(now) && starts.len() < 100_000 {
            throttle.record_start(now);
            starts.push(now);
        }
        now += STEP;
    }
    starts
}

fn max_in_window(starts: &[Instant]) -> usize {
    let within = |from: Instant| starts.iter().filter(move |at| **at >= from);
    let counts = starts
        .iter()
        .map(|from| within(*from).filter(|at| **at < *from + WINDOW).count());
    counts.max().unwrap_or_default()
}

#[rstest]
#[case::none(0.0)]
#[case::one_in_five_seconds(0.2)]
#[case::one(1.0)]
#[case::some(11.2)]
#[case::more(21.9)]
#[case::many(300.0)]
fn record_start_keeps_any_window_within_rate(#[case] rate: f64) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    assert!(throttle.record(now, now, requested(rate)));
    let starts = start_all(&mut throttle, now, WINDOW * 4);
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    assert!(
        max_in_window(&starts) as f64 <= allowed,
        "{}",
        max_in_window(&starts)
    );
    let used = rate * WINDOW.as_secs_f64() * 4.0;
    assert!(starts.len() as f64 >= used * 0.9, "{}", starts.len());
}

#[test]
fn record_start_keeps_window_within_rate_after_pause() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut throttle = Throttle::default();
    let mut now = Instant::now();
    throttle.record(now, now, requested(12.0));
    let mut starts = Vec::new();
    for _ in 0..40 {
        now += Duration::from_millis(rng.random_range(0..3000));
        starts.extend(start_all(&mut throttle, now, STEP * 20));
        now += STEP * 20;
    }
    assert!(max_in_window(&starts) <= 77, "{}", max_in_window(&starts));
}

/// A daemon that restarts has no credit from before its start.
#[test]
fn record_gives_no_credit_at_first() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, requested(40.0));
    assert!(!throttle.is_open(now));
}

#[test]
fn record_applies_lower_rate_at_once() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    let earlier = now - Duration::from_secs(1);
    throttle.record(now, now, requested(20.0));
    assert!(throttle.record(now, earlier, requested(5.0)));
    assert_eq!(throttle.rate(), Some(Rate::per_second(5.0)));
}

/// A slow answer may carry an older rate than a fast one.
#[rstest]
#[case::higher(requested(40.0))]
#[case::none(RequestedRate::None)]
fn record_ignores_late_answers(#[case] late: RequestedRate) {
    let mut throttle = Throttle::default();
    let sent = Instant::now();
    let reported = sent + Duration::from_secs(1);
    throttle.record(reported, sent, requested(20.0));
    assert!(!throttle.record(reported + STEP, sent + STEP, late));
    assert_eq!(throttle.rate(), Some(Rate::per_second(20.0)));
    assert!(throttle.record(reported + STEP * 2, reported, late));
    assert_ne!(throttle.rate(), Some(Rate::per_second(20.0)));
}

#[test]
fn record_ignores_unreadable_rate() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    assert!(!throttle.record(now, now, RequestedRate::Unreadable));
    assert_eq!(throttle.rate(), None);
    throttle.record(now, now, requested(20.0));
    assert!(!throttle.record(now + STEP, now + STEP, RequestedRate::Unreadable));
    assert_eq!(throttle.rate(), Some(Rate::per_second(20.0)));
}

/// A relayed rate is older than the server's own report.
#[rstest]
#[case::nothing_reported(None, Some(8.0))]
#[case::reported_no_rate(Some(RequestedRate::None), None)]
#[case::reported_other_rate(Some(requested(20.0)), Some(20.0))]
fn adopt_yields_to_the_server(
    #[case] reported: Option<RequestedRate>,
    #[case] expected: Option<f64>,
) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    if let Some(reported) = reported {
        throttle.record(now, now, reported);
    }
    throttle.adopt(now, Rate::per_second(8.0));
    assert_eq!(throttle.rate(), expected.map(Rate::per_second));
}

#[test]
fn forget_drops_rate() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, requested(20.0));
    throttle.forget();
    assert_eq!(throttle.rate(), None);
    assert!(throttle.is_open(now));
}

#[rstest]
#[case::first(0, 100)]
#[case::third(2, 300)]
fn delay_covers_calls_ahead(#[case] ahead: usize, #[case] ms: u64) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, requested(10.0));
    assert_eq!(throttle.delay(now, ahead), Duration::from_millis(ms));
}
