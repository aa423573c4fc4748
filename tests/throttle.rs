//! Calls a second to a backend server that has named how many it takes.
//!
//! The load answered here: a server in need names a rate far below its slots,
//! changes it, names none again, and its answers overtake each other. It needs to
//! get no more than it named in any few seconds; callers need what it does take to
//! be used, and a need that is over to be noticed. The bound is the platform's: in
//! any 4 s one and a half times what the rate allows, and five.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{NamedRate, Rate};
use bramleymount::policy::admission::Throttle;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

fn named(requests: f64) -> NamedRate {
    NamedRate::Some(Rate::per_second(requests))
}

/// Starts calls whenever it is allowed, from `now` on.
fn greedy(throttle: &mut Throttle, mut now: Instant, time: Duration) -> Vec<Instant> {
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

fn most(starts: &[Instant]) -> usize {
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
fn start_keeps_any_window_within_the_rate(#[case] rate: f64) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    assert!(throttle.record(now, now, named(rate)));
    let starts = greedy(&mut throttle, now, WINDOW * 4);
    let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    assert!(most(&starts) as f64 <= allowed, "{}", most(&starts));
    let used = rate * WINDOW.as_secs_f64() * 4.0;
    assert!(starts.len() as f64 >= used * 0.9, "{}", starts.len());
}

#[test]
fn start_after_a_pause_keeps_the_window_within_the_rate() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut throttle = Throttle::default();
    let mut now = Instant::now();
    throttle.record(now, now, named(12.0));
    let mut starts = Vec::new();
    for _ in 0..40 {
        now += Duration::from_millis(rng.random_range(0..3000));
        starts.extend(greedy(&mut throttle, now, STEP * 20));
        now += STEP * 20;
    }
    assert!(most(&starts) <= 77, "{}", most(&starts));
}

/// A daemon that starts again has no credit from before its start.
#[test]
fn hear_gives_no_credit_at_first() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, named(40.0));
    assert!(!throttle.is_open(now));
}

#[test]
fn hear_takes_a_lower_rate_at_once() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    let earlier = now - Duration::from_secs(1);
    throttle.record(now, now, named(20.0));
    assert!(throttle.record(now, earlier, named(5.0)));
    assert_eq!(throttle.rate(), Some(Rate::per_second(5.0)));
}

/// A slow answer carries what was true before that of a fast one.
#[rstest]
#[case::higher(named(40.0))]
#[case::none(NamedRate::None)]
fn hear_passes_over_answers_that_were_overtaken(#[case] late: NamedRate) {
    let mut throttle = Throttle::default();
    let sent = Instant::now();
    let heard = sent + Duration::from_secs(1);
    throttle.record(heard, sent, named(20.0));
    assert!(!throttle.record(heard + STEP, sent + STEP, late));
    assert_eq!(throttle.rate(), Some(Rate::per_second(20.0)));
    assert!(throttle.record(heard + STEP * 2, heard, late));
    assert_ne!(throttle.rate(), Some(Rate::per_second(20.0)));
}

#[test]
fn hear_keeps_the_rate_where_another_is_unreadable() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    assert!(!throttle.record(now, now, NamedRate::Unreadable));
    assert_eq!(throttle.rate(), None);
    throttle.record(now, now, named(20.0));
    assert!(!throttle.record(now + STEP, now + STEP, NamedRate::Unreadable));
    assert_eq!(throttle.rate(), Some(Rate::per_second(20.0)));
}

/// What another daemon was told is older than what the server itself says.
#[rstest]
#[case::nothing_heard(None, Some(8.0))]
#[case::heard_of_no_need(Some(NamedRate::None), None)]
#[case::heard_of_another(Some(named(20.0)), Some(20.0))]
fn adopt_yields_to_the_server(#[case] heard: Option<NamedRate>, #[case] expected: Option<f64>) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    if let Some(heard) = heard {
        throttle.record(now, now, heard);
    }
    throttle.adopt(now, Rate::per_second(8.0));
    assert_eq!(throttle.rate(), expected.map(Rate::per_second));
}

#[test]
fn forget_ends_with_the_run() {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, named(20.0));
    throttle.forget();
    assert_eq!(throttle.rate(), None);
    assert!(throttle.is_open(now));
}

#[rstest]
#[case::first(0, 100)]
#[case::third(2, 300)]
fn wait_is_what_those_before_take(#[case] ahead: usize, #[case] ms: u64) {
    let mut throttle = Throttle::default();
    let now = Instant::now();
    throttle.record(now, now, named(10.0));
    assert_eq!(throttle.delay(now, ahead), Duration::from_millis(ms));
}
