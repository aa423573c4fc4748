//! Admission to a backend server that has requested a rate of calls.
//!
//! Load: more calls than the rate, of several classes. Guards against calls that queue
//! although another server has capacity for them. If none has, it guards against less
//! important calls served first, waits for an answer that comes too late, and refusals
//! without a useful `Retry-After`.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{ClassRank, Depth, Level, Priority, Rate, RequestedRate, RootId, Slots};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, Outcome, QueuedCall, Settings, Shed,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tokio::time::Instant;

const TIME_LEFT: Duration = Duration::from_secs(6);

fn call(token: u64, rank: usize, now: Instant) -> QueuedCall {
    let root = RootId::new(u128::from(token));
    QueuedCall {
        token: CallToken(token),
        priority: Priority::new(ClassRank::new(rank), Depth::new(0), root),
        workspace: None,
        deadline: now + TIME_LEFT,
        expires: now + TIME_LEFT,
        may_wait: true,
    }
}

/// A server of many slots that requested ten calls a second; rank 0 is protected.
fn rate_limited(now: Instant) -> Admission {
    let settings = Settings {
        slots: Slots::new(119),
        cold: false,
        protected: Some(ClassRank::new(0)),
    };
    let mut guard = Admission::new(now, settings);
    let rate = RequestedRate::Some(Rate::per_second(10.0));
    assert!(guard.record_rate(now, now, rate));
    guard
}

fn started(events: &[Event]) -> Vec<u64> {
    let started = events.iter().filter_map(|event| match event {
        Event::Start(token) => Some(token.0),
        Event::Shed(..) => None,
    });
    started.collect()
}

/// Finishes the started calls at once, and those that start in turn.
fn finish(guard: &mut Admission, now: Instant, events: Vec<Event>) -> Vec<u64> {
    let mut order = started(&events);
    let mut ended = 0;
    while let Some(token) = order.get(ended) {
        let events = guard.finish(now, CallToken(*token), Outcome::Answered);
        order.extend(started(&events));
        ended += 1;
    }
    order
}

/// Lets a call arrive, and finishes it at once if it starts.
fn arrive(guard: &mut Admission, now: Instant, call: QueuedCall) {
    let (decision, mut events) = guard.arrive(now, call);
    if decision == Decision::Start {
        events.push(Event::Start(call.token));
    }
    finish(guard, now, events);
    let events = guard.expire(now);
    finish(guard, now, events);
}

/// Starts calls until `now` + `time`, as the guard does, and finishes each at once.
fn run(guard: &mut Admission, now: &mut Instant, time: Duration) -> Vec<u64> {
    let end = *now + time;
    let mut order = Vec::new();
    while let Some(next) = guard.next_start(*now).filter(|next| *next <= end) {
        *now = next;
        let events = guard.expire(*now);
        order.extend(finish(guard, *now, events));
    }
    *now = end;
    order
}

#[test]
fn arrive_refuses_calls_that_may_go_elsewhere() {
    let now = Instant::now();
    let mut guard = rate_limited(now);
    for token in 0..200 {
        let call = QueuedCall {
            may_wait: false,
            ..call(token, 1, now)
        };
        let (decision, events) = guard.arrive(now, call);
        assert_eq!(decision, Decision::Shed(Shed::Limited));
        assert!(events.is_empty());
    }
    // Calls that may go to other servers don't raise the level.
    let later = now + Duration::from_secs(1);
    let (decision, _) = guard.arrive(later, call(200, 1, later));
    assert_eq!(decision, Decision::Start);
    assert_eq!(guard.status(later).demand.level.get(), 0);
}

#[test]
fn arrive_starts_queued_calls_by_class_at_rate() {
    let mut now = Instant::now();
    let mut guard = rate_limited(now);
    for (token, rank) in [(1, 2), (2, 1), (3, 0), (4, 1), (5, 0)] {
        let (decision, events) = guard.arrive(now, call(token, rank, now));
        assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
        assert!(events.is_empty());
    }
    let order = run(&mut guard, &mut now, Duration::from_millis(520));
    let rank = |token: &u64| [2, 1, 0, 1, 0][*token as usize - 1];
    let ranks: Vec<usize> = order.iter().map(rank).collect();
    assert_eq!(ranks, [0, 0, 1, 1, 2]);
}

/// At ten calls a second, an unprotected call may wait for a quarter of its time left
/// and a protected one for all of it.
#[rstest]
#[case::plain(1, 15)]
#[case::protected(0, 60)]
fn arrive_refuses_calls_that_could_not_start_in_time(#[case] rank: usize, #[case] most: usize) {
    let now = Instant::now();
    let mut guard = rate_limited(now);
    let decisions = (0..80).map(|token| {
        let (decision, events) = guard.arrive(now, call(token, rank, now));
        // Queued calls of the class may be shed for later ones.
        let shed = events.len();
        (matches!(decision, Decision::Wait(_)), shed)
    });
    let (mut waiting, mut shed) = (0, 0);
    for (waits, late) in decisions {
        waiting += usize::from(waits);
        shed += late;
    }
    assert!(
        (most - 1..=most).contains(&(waiting - shed)),
        "{waiting} {shed}"
    );
    let wait = guard.rate_retry_after(now, &mut SmallRng::seed_from_u64(1));
    let true_wait = Duration::from_millis(100) * most as u32;
    assert!(wait >= true_wait.mul_f64(0.9), "{wait:?}");
    assert!(wait <= true_wait.mul_f64(1.6), "{wait:?}");
}

#[test]
fn arrive_sheds_less_important_calls_first() {
    let now = Instant::now();
    let mut guard = rate_limited(now);
    for token in 0..10 {
        guard.arrive(now, call(token, 2, now));
    }
    let mut shed = Vec::new();
    for token in 100..120 {
        let (decision, events) = guard.arrive(now, call(token, 0, now));
        assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
        shed.extend(events);
    }
    assert_eq!(shed.len(), 10);
    assert!(
        shed.iter()
            .all(|event| matches!(event, Event::Shed(CallToken(0..10), Shed::Limited)))
    );
}

/// If all servers of a service are short, the level rises, so that calls and call trees
/// are refused at their entry.
#[test]
fn level_rises_without_other_capacity() {
    let mut now = Instant::now();
    let mut guard = rate_limited(now);
    for token in 0..400 {
        now += Duration::from_millis(10);
        arrive(&mut guard, now, call(token, 1, now));
    }
    let level = guard.status(now).demand.level;
    assert_eq!(level.rank(), ClassRank::new(1), "{level}");
}

#[test]
fn forget_starts_calls_on_new_run() {
    let now = Instant::now();
    let mut guard = rate_limited(now);
    let (decision, _) = guard.arrive(now, call(1, 1, now));
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
    guard.forget(Slots::new(119));
    assert_eq!(started(&guard.expire(now)), [1]);
    assert_eq!(guard.rate_delay(now), Duration::ZERO);
}

/// The rate is below the demand of both classes together and above that of the more
/// important one, whose calls the level must not refuse although few calls start in
/// a window.
#[test]
fn level_spares_class_within_rate() {
    let mut now = Instant::now();
    let mut guard = rate_limited(now);
    let first = Level::new(ClassRank::new(0), 0);
    for token in 0..600 {
        now += Duration::from_millis(25);
        let rank = if token % 6 == 0 { 0 } else { 2 };
        arrive(&mut guard, now, call(token, rank, now));
        let level = guard.status(now).demand.level;
        assert!(level <= first, "{level} at call {token}");
    }
}
