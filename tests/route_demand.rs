//! What an entry takes a service to demand, by news of some of its targets.
//!
//! Load pattern: a service further down is short, its guards' callers demand a
//! high level of all work that leads there, and an estate of many VMs spreads
//! its calls thinly: each entry sends a few calls a second to each of many
//! targets, so that only one in five was heard from in the last 150 ms. Figures:
//! 15 targets in the own data centre, as an entry of the users' larger site has.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::model::{
    ClassRank, Demand, GuardNews, Instance, Level, RankSet, Slots, StartStamp,
};
use bramleymount::policy::route::{Pick, Report, Table, Target, Want};
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

/// The level that is demanded of work that leads to the short service.
fn below() -> Level {
    Level::new(ClassRank::new(2), 48_000)
}

fn hear(table: &mut Table, now: Instant, n: u16, below: Level) {
    let mut classes = RankSet::default();
    classes.set(ClassRank::new(2), true);
    let news = GuardNews {
        demand: Demand {
            level: Level::OPEN,
            below,
            classes,
        },
        ..GuardNews::default()
    };
    table.sent(instance(n));
    table.report(now, instance(n), Report::Heard(news));
}

#[rstest]
#[case::others_were_never_heard(None)]
#[case::others_were_heard_a_second_ago(Some(Duration::from_secs(1)))]
fn demand_is_that_of_targets_heard_just_now(#[case] before: Option<Duration>) {
    let (mut table, start) = (table(), Instant::now());
    if before.is_some() {
        (1..=TARGETS).for_each(|n| hear(&mut table, start, n, below()));
    }
    let now = start + before.unwrap_or_default();
    [2, 6, 11]
        .iter()
        .for_each(|n| hear(&mut table, now, *n, below()));
    assert_eq!(table.demand(now).below, below());
    let want = |hash| Want {
        level: Level::new(ClassRank::new(2), hash),
        protected: false,
        avoid: None,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let picked = table.choose(now, want(20_000), &mut rng);
    assert!(matches!(picked, Pick::Refused(_)), "{picked:?}");
    let picked = table.choose(now, want(60_000), &mut rng);
    assert!(matches!(picked, Pick::Target(_)), "{picked:?}");
}

#[test]
fn demand_is_their_mean() {
    let (mut table, now) = (table(), Instant::now());
    hear(&mut table, now, 3, Level::from_raw(20_000));
    hear(&mut table, now, 9, Level::from_raw(10_000));
    assert_eq!(table.demand(now).below, Level::from_raw(15_000));
}

#[test]
fn demand_falls_when_nothing_is_heard() {
    let (mut table, start) = (table(), Instant::now());
    (1..=TARGETS).for_each(|n| hear(&mut table, start, n, below()));
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(table.demand(at(100)).below, below());
    assert!(table.demand(at(200)).below < below());
    assert_eq!(table.demand(at(10_000)).below, Level::OPEN);
}
