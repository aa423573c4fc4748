//! Demand of a service, as an entry estimates it from some of its targets.
//!
//! A downstream service is overloaded, so guards demand a high level of all calls
//! that lead there. With many VMs each entry sends only a few calls a second to
//! each target, and only one target in five has answered within the last 150 ms.
//! If the others counted as open, entries would send far too many calls. The
//! entry has 15 targets in its own data centre, as on a large site.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::model::{
    ClassRank, DemandedLevels, GuardStatus, Instance, Level, RankSet, Slots, StartStamp,
};
use bramleymount::policy::route::{AttemptReport, CallNeeds, Pick, Table, Target};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

const TARGETS: u16 = 15;

fn instance(n: u16) -> Instance {
    let address = SocketAddr::from(([10, 0, 0, 1], n));
    Instance::new(address, StartStamp::new(1, 0))
}

fn table() -> Table {
    let near = || "near".parse().expect("a name");
    let mut table = Table::new(near());
    let target = |n| Target::new(instance(n), near(), Slots::new(59));
    table.update((1..=TARGETS).map(target).collect());
    table
}

/// Level that is demanded of calls that lead to the overloaded service.
fn downstream_level() -> Level {
    Level::new(ClassRank::new(2), 48_000)
}

fn report_level(table: &mut Table, now: Instant, n: u16, below: Level) {
    let mut classes = RankSet::default();
    classes.set(ClassRank::new(2), true);
    let status = GuardStatus {
        demand: DemandedLevels {
            level: Level::ADMIT_ALL,
            downstream: below,
            downstream_classes: classes,
        },
        ..GuardStatus::default()
    };
    table.record_sent(instance(n));
    table.report(now, instance(n), AttemptReport::Responded(status));
}

#[rstest]
#[case::others_never_responded(None)]
#[case::others_responded_a_second_ago(Some(Duration::from_secs(1)))]
fn demand_is_that_of_targets_with_fresh_levels(#[case] before: Option<Duration>) {
    let (mut table, start) = (table(), Instant::now());
    if before.is_some() {
        (1..=TARGETS).for_each(|n| report_level(&mut table, start, n, downstream_level()));
    }
    let now = start + before.unwrap_or_default();
    [2, 6, 11]
        .iter()
        .for_each(|n| report_level(&mut table, now, *n, downstream_level()));
    assert_eq!(table.demand(now).downstream, downstream_level());
    let needs = |hash| CallNeeds {
        level: Level::new(ClassRank::new(2), hash),
        protected: false,
        avoid: None,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let picked = table.choose(now, needs(20_000), &mut rng);
    assert!(matches!(picked, Pick::Refused(_)), "{picked:?}");
    let picked = table.choose(now, needs(60_000), &mut rng);
    assert!(matches!(picked, Pick::Target(_)), "{picked:?}");
}

#[test]
fn demand_is_the_mean_of_fresh_levels() {
    let (mut table, now) = (table(), Instant::now());
    report_level(&mut table, now, 3, Level::from_raw(20_000));
    report_level(&mut table, now, 9, Level::from_raw(10_000));
    assert_eq!(table.demand(now).downstream, Level::from_raw(15_000));
}

#[test]
fn demand_falls_without_new_levels() {
    let (mut table, start) = (table(), Instant::now());
    (1..=TARGETS).for_each(|n| report_level(&mut table, start, n, downstream_level()));
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(table.demand(at(100)).downstream, downstream_level());
    assert!(table.demand(at(200)).downstream < downstream_level());
    assert_eq!(table.demand(at(10_000)).downstream, Level::ADMIT_ALL);
}
