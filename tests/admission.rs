//! Admission control of one guard.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{ClassRank, DemandedLevels, Depth, Level, Priority, RootId, Slots};
use bramleymount::policy::admission::{
    Admission, Backlog, CallToken, ConcurrencyLimit, Decision, DownstreamLevels, Event, LastLevel,
    OnwardOutcome, Outcome, QueuedCall, Settings, Shed, Threshold,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

fn call(token: u64, rank: usize, now: Instant, left: Duration) -> QueuedCall {
    let deadline = now + left;
    QueuedCall {
        token: CallToken(token),
        priority: Priority::new(
            ClassRank::new(rank),
            Depth::new(0),
            RootId::new(u128::from(token)),
        ),
        workspace: None,
        deadline,
        expires: deadline,
        may_wait: true,
    }
}

fn guard(now: Instant, slots: u32) -> Admission {
    let settings = Settings {
        slots: Slots::new(slots),
        cold: false,
        protected: Some(ClassRank::new(1)),
    };
    Admission::new(now, settings)
}

/// Under random load, a protected call is shed for lack of capacity only if no less
/// important call is queued or was started while it was queued.
#[test]
fn admission_sheds_protected_last() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut guard = guard(now, 8);
        let mut waiting: Vec<(CallToken, usize, u64)> = Vec::new();
        let mut running: Vec<CallToken> = Vec::new();
        let mut last_lesser_start = 0;
        for step in 1..3000u64 {
            now += Duration::from_micros(rng.random_range(1..1500));
            let rank = rng.random_range(0..4);
            let mut events = Vec::new();
            if rng.random_bool(0.7) {
                let left = Duration::from_millis(rng.random_range(50..500));
                let (decision, more) = guard.arrive(now, call(step, rank, now, left));
                waiting.push((CallToken(step), rank, step));
                match decision {
                    Decision::Start => events.push(Event::Start(CallToken(step))),
                    Decision::Shed(shed) => events.push(Event::Shed(CallToken(step), shed)),
                    Decision::Wait(_) => {}
                }
                events.extend(more);
            } else if let Some(token) = running.pop() {
                events = guard.finish(now, token, Outcome::Answered);
            } else {
                events = guard.expire(now);
            }
            for event in events {
                let (Event::Start(token) | Event::Shed(token, _)) = event;
                let place = waiting
                    .iter()
                    .position(|(t, ..)| *t == token)
                    .expect("known");
                let (_, rank, since) = waiting.swap_remove(place);
                match event {
                    Event::Start(_) => {
                        running.push(token);
                        if rank > 1 {
                            last_lesser_start = step;
                        }
                    }
                    Event::Shed(_, Shed::Overload) if rank <= 1 => {
                        assert!(waiting.iter().all(|(_, rank, _)| *rank <= 1), "seed {seed}");
                        assert!(last_lesser_start <= since, "seed {seed}");
                    }
                    Event::Shed(..) => {}
                }
            }
            assert!(guard.in_flight() <= 8);
        }
    }
}

#[rstest]
#[case::too_late(Duration::ZERO, Decision::Shed(Shed::Deadline))]
#[case::in_time(Duration::from_secs(1), Decision::Start)]
fn arrive_by_deadline(#[case] left: Duration, #[case] expected: Decision) {
    let now = Instant::now();
    assert_eq!(guard(now, 1).arrive(now, call(1, 0, now, left)).0, expected);
}

#[test]
fn leave_sheds_queued_and_new() {
    let now = Instant::now();
    let mut guard = guard(now, 1);
    let second = Duration::from_secs(1);
    guard.arrive(now, call(1, 0, now, second));
    let waits = guard.arrive(now, call(2, 0, now, second)).0;
    assert!(matches!(waits, Decision::Wait(_)), "{waits:?}");
    assert_eq!(
        guard.leave(),
        vec![Event::Shed(CallToken(2), Shed::Leaving)]
    );
    assert_eq!(
        guard.arrive(now, call(3, 0, now, second)).0,
        Decision::Shed(Shed::Leaving)
    );
}

#[test]
fn limit_follows_slots() {
    let mut limit = ConcurrencyLimit::warm(Slots::new(1));
    limit.resize(Slots::new(75));
    assert_eq!(limit.get(), 75);
    limit.resize(Slots::new(20));
    assert_eq!(limit.get(), 20);
}

#[test]
fn limit_falls_to_calls_in_flight() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::warm(Slots::new(100));
    limit.record(now, Outcome::Refused, Duration::from_millis(1), 31);
    assert_eq!(limit.get(), 30);
}

#[test]
fn threshold_closes_on_excess_and_reopens() {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut threshold = Threshold::new(now);
    let mut window = |threshold: &mut Threshold, arrivals: usize, shed: bool| {
        for _ in 0..arrivals {
            let level = Level::new(ClassRank::new(2), rng.random());
            if level >= threshold.level() {
                threshold.record_arrival(level);
            }
        }
        (0..25).for_each(|_| threshold.record_start());
        if shed {
            threshold.record_shed();
        }
        now += Duration::from_millis(60);
        threshold.tick(
            now,
            Backlog {
                waiting: 0,
                max_waiting: 20,
                idle: !shed,
                rate_limited: false,
            },
        );
    };
    (0..20).for_each(|_| window(&mut threshold, 250, true));
    let closed = threshold.level();
    assert_eq!(closed.rank(), ClassRank::new(2), "{closed}");
    (0..40).for_each(|_| window(&mut threshold, 10, false));
    assert_eq!(threshold.level(), Level::ADMIT_ALL);
}

/// A level that is not updated by answers falls with age.
#[rstest]
#[case::fresh(100, false, true)]
#[case::fresh_protected(100, true, true)]
#[case::old_protected(200, true, false)]
#[case::old(10_000, false, false)]
fn last_level_ages(#[case] ms: u64, #[case] protected: bool, #[case] refuses: bool) {
    let now = Instant::now();
    let mut last_level = LastLevel::default();
    let level = Level::new(ClassRank::new(1), 0);
    last_level.record(now, level);
    let later = last_level.level(now + Duration::from_millis(ms), protected);
    assert_eq!(Level::new(ClassRank::new(2), 0) < later, refuses);
}

/// Uploads make no onward calls. Now and then an orphaned call, whose parent call has
/// ended, is attributed to their class; it must not make the class depend on the
/// downstream service that refuses calls.
#[test]
fn downstream_levels_spare_independent_class() {
    let now = Instant::now();
    let mut downstream = DownstreamLevels::default();
    let upload = ClassRank::new(1);
    let alert = ClassRank::new(0);
    let level = Level::new(alert, u16::MAX / 2);
    let refused = [OnwardOutcome {
        service: "abonnent".parse().expect("a name"),
        demand: DemandedLevels {
            level,
            ..DemandedLevels::default()
        },
        refused: true,
        failed: true,
    }];
    for turn in 0..500 {
        downstream.record(now, alert, &refused, false);
        let orphan = turn % 50 == 0;
        let outcomes: &[OnwardOutcome] = if orphan { &refused } else { &[] };
        downstream.record(now, upload, outcomes, !orphan);
    }
    assert_eq!(downstream.level(now, alert, false), level);
    assert_eq!(downstream.level(now, upload, false), Level::ADMIT_ALL);
    let (highest, classes) = downstream.highest(now);
    assert_eq!(highest, level);
    assert!(classes.contains(alert) && !classes.contains(upload));
}
