//! Choice between backend servers with rate limits of a few calls a second.
//!
//! Overloaded servers set a rate limit and have no capacity within it most of the
//! time. Calls must go to servers with capacity, in other data centres too; where
//! none has any, to the first that will have some, unless less important calls
//! are refused there anyway.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::model::{
    CentreName, ClassRank, DemandedLevels, GuardStatus, Instance, Level, Rate, RelayedNotice,
    RunId, Slots, StartStamp,
};
use bramleymount::policy::route::{AttemptReport, CallNeeds, Pick, Table, Target};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

fn centre(name: &str) -> CentreName {
    name.parse().expect("a name")
}

fn instance(n: u16) -> Instance {
    let address = SocketAddr::from(([10, 0, 0, 1], n));
    Instance::new(address, StartStamp::new(1, 0))
}

/// Two near targets and a far one.
fn table() -> Table {
    let mut table = Table::new(centre("near"));
    let target = |n, at: &str| Target::new(instance(n), centre(at), Slots::new(27));
    table.update(vec![target(1, "near"), target(2, "near"), target(3, "far")]);
    table
}

fn needs() -> CallNeeds {
    CallNeeds {
        level: Level::new(ClassRank::new(1), 0),
        protected: false,
        avoid: None,
    }
}

fn report_rate(table: &mut Table, now: Instant, n: u16, delay_ms: u64, level: Level) {
    let status = GuardStatus {
        demand: DemandedLevels {
            level,
            ..DemandedLevels::default()
        },
        notice: Some(RelayedNotice {
            run: RunId::new(u64::from(n)),
            rate: Some(Rate::per_second(5.0)),
            leaving: false,
        }),
        rate_delay: Duration::from_millis(delay_ms),
        ..GuardStatus::default()
    };
    table.record_sent(instance(n));
    table.report(now, instance(n), AttemptReport::Responded(status));
}

#[test]
fn choose_skips_targets_without_rate_capacity() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    report_rate(&mut table, now, 1, 200, Level::ADMIT_ALL);
    for _ in 0..50 {
        let picked = table.choose(now, needs(), &mut rng);
        assert!(
            matches!(picked, Pick::Target(i) if i != instance(1)),
            "{picked:?}"
        );
    }
    report_rate(&mut table, now, 2, 200, Level::ADMIT_ALL);
    let picked = table.choose(now, needs(), &mut rng);
    assert_eq!(picked, Pick::Target(instance(3)));
}

#[test]
fn choose_uses_a_target_again_after_its_rate_delay() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    report_rate(&mut table, now, 1, 200, Level::ADMIT_ALL);
    let later = now + Duration::from_millis(200);
    let picked: Vec<_> = (0..50)
        .map(|_| table.choose(later, needs(), &mut rng))
        .collect();
    assert!(picked.contains(&Pick::Target(instance(1))));
}

#[test]
fn choose_waits_at_the_target_with_the_shortest_delay() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    for (n, delay) in [(1, 300), (2, 100), (3, 200)] {
        report_rate(&mut table, now, n, delay, Level::ADMIT_ALL);
    }
    assert_eq!(
        table.choose(now, needs(), &mut rng),
        Pick::Wait(instance(2))
    );
    assert_eq!(table.rate_delay(now), Some(Duration::from_millis(100)));
}

#[test]
fn choose_refuses_by_class_where_none_has_rate_capacity() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    let level = Level::new(ClassRank::new(0), 0);
    for n in [1, 2, 3] {
        report_rate(&mut table, now, n, 300, level);
    }
    assert_eq!(table.choose(now, needs(), &mut rng), Pick::Refused(level));
    let urgent = CallNeeds { level, ..needs() };
    let picked = table.choose(now, urgent, &mut rng);
    assert!(matches!(picked, Pick::Wait(_)), "{picked:?}");
}

#[test]
fn record_status_ends_the_wait_where_the_server_sets_no_rate() {
    let (mut table, now) = (table(), Instant::now());
    for n in [1, 2, 3] {
        report_rate(&mut table, now, n, 300, Level::ADMIT_ALL);
    }
    table.report(
        now,
        instance(2),
        AttemptReport::Responded(GuardStatus::default()),
    );
    assert_eq!(table.rate_delay(now), None);
}

#[test]
fn choose_does_not_wait_at_an_unreachable_target() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    for (n, delay) in [(1, 300), (2, 100), (3, 200)] {
        report_rate(&mut table, now, n, delay, Level::ADMIT_ALL);
    }
    table.record_sent(instance(2));
    table.report(now, instance(2), AttemptReport::Unreachable);
    assert_eq!(
        table.choose(now, needs(), &mut rng),
        Pick::Wait(instance(3))
    );
}
