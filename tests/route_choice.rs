//! Choice of a backend server while a data centre is unreachable.
//!
//! One data centre silently drops all traffic, so calls into it are never
//! answered, while the remaining servers are overloaded. The service has three
//! targets, one of them in the own data centre, as on a small site.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::model::{
    CentreName, ClassRank, DemandedLevels, GuardStatus, Instance, Level, Percent, Slots, StartStamp,
};
use bramleymount::policy::route::{AttemptReport, CallNeeds, Pick, Split, Table, Target};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

fn centre(name: &str) -> CentreName {
    name.parse().expect("a name")
}

fn instance(n: u16) -> Instance {
    let address = SocketAddr::from(([10, 0, 0, 1], n));
    Instance::new(address, StartStamp::new(1, 0))
}

/// One near target and two far ones.
fn table() -> Table {
    let mut table = Table::new(centre("near"));
    let target = |n, at: &str| Target::new(instance(n), centre(at), Slots::new(27));
    table.update(vec![target(1, "near"), target(2, "far"), target(3, "far")]);
    table
}

fn needs(level: Level) -> CallNeeds {
    CallNeeds {
        level,
        protected: false,
        avoid: None,
    }
}

#[test]
fn choose_avoids_unreachable_targets() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    for n in [2, 3] {
        table.record_sent(instance(n));
        table.report(now, instance(n), AttemptReport::Unreachable);
    }
    for _ in 0..100 {
        let picked = table.choose(now, needs(Level::new(ClassRank::new(0), 0)), &mut rng);
        assert_eq!(picked, Pick::Target(instance(1)));
    }
}

#[test]
fn choose_refuses_rather_than_use_unreachable_targets() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    for n in [2, 3] {
        table.record_sent(instance(n));
        table.report(now, instance(n), AttemptReport::Unreachable);
    }
    let full = GuardStatus {
        demand: DemandedLevels {
            level: Level::from_raw(u32::MAX),
            ..DemandedLevels::default()
        },
        ..GuardStatus::default()
    };
    table.record_sent(instance(1));
    table.report(now, instance(1), AttemptReport::Responded(full));
    let picked = table.choose(now, needs(Level::ADMIT_ALL), &mut rng);
    assert!(matches!(picked, Pick::Refused(_)), "{picked:?}");
}

#[test]
fn choose_tries_unreachable_targets_if_there_is_no_other() {
    let (mut table, now) = (table(), Instant::now());
    let mut rng = StdRng::seed_from_u64(1);
    for n in [1, 2, 3] {
        table.record_sent(instance(n));
        table.report(now, instance(n), AttemptReport::Unreachable);
    }
    let picked = table.choose(now, needs(Level::ADMIT_ALL), &mut rng);
    assert!(matches!(picked, Pick::Target(_)), "{picked:?}");
    let picked = table.choose_except(
        now,
        needs(Level::ADMIT_ALL),
        &[1, 2, 3].map(instance),
        &mut rng,
    );
    assert_eq!(picked, Pick::NoTarget);
}

#[test]
fn has_recent_status_ends_soon_after_the_last_response() {
    let (mut table, now) = (table(), Instant::now());
    assert!(!table.has_recent_status(now, instance(2)));
    table.report(
        now,
        instance(2),
        AttemptReport::Responded(GuardStatus::default()),
    );
    assert!(table.has_recent_status(now, instance(2)));
    assert!(!table.has_recent_status(now + Duration::from_secs(1), instance(2)));
}

/// One of three servers, the only one in the own data centre, fails every call at
/// once while its health check passes, so it always has the least load.
#[test]
fn choose_avoids_a_server_that_fails_all() {
    let mut table = table();
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let mut to_bad = 0;
    for turn in 0..1000_u32 {
        // A thousand calls in five seconds.
        let now = start + Duration::from_millis(5) * turn;
        let Pick::Target(target) = table.choose(now, needs(Level::ADMIT_ALL), &mut rng) else {
            panic!("no target");
        };
        let bad = target == instance(1);
        let status = GuardStatus {
            fault_share: Percent::new(if bad { 100 } else { 0 }),
            load: if bad { 0 } else { 26 },
            ..GuardStatus::default()
        };
        table.report(now, target, AttemptReport::Responded(status));
        to_bad += u32::from(bad);
    }
    assert!((2..20).contains(&to_bad), "{to_bad} of 1000 calls");
}

/// All servers fail equally, so none is avoided.
#[test]
fn choose_keeps_servers_that_fail_equally() {
    let mut table = table();
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    for n in 1..=3 {
        let status = GuardStatus {
            fault_share: Percent::new(55),
            ..GuardStatus::default()
        };
        table.report(now, instance(n), AttemptReport::Responded(status));
    }
    let chosen = table.choose(now, needs(Level::ADMIT_ALL), &mut rng);
    assert_eq!(chosen, Pick::Target(instance(1)));
}

/// One of three servers refuses nearly half of its calls by itself while its
/// health check passes.
#[test]
fn choose_keeps_most_calls_from_a_refusing_server() {
    let mut table = table();
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(7);
    let mut to_bad = 0;
    for turn in 0..600 {
        let Pick::Target(target) = table.choose(now, needs(Level::ADMIT_ALL), &mut rng) else {
            panic!("no target");
        };
        let bad = target == instance(2);
        let status = GuardStatus::default();
        let report = if bad && turn % 2 == 0 {
            AttemptReport::Rejected(status)
        } else {
            AttemptReport::Responded(status)
        };
        table.report(now, target, report);
        to_bad += u32::from(bad && turn >= 300);
    }
    assert!(to_bad < 60, "{to_bad} of 300 calls");
}

#[rstest]
#[case::even(&[1, 1])]
#[case::uneven(&[9000, 1000])]
#[case::three(&[50, 30, 20])]
#[case::none_for_one(&[10, 0])]
fn split_follows_weights(#[case] weights: &[u32], #[values(0.0, 0.4, 0.99)] offset: f64) {
    let mut split = Split::new(weights, offset);
    let mut counts = vec![0_u32; weights.len()];
    for _ in 0..200 {
        counts[split.next(weights).expect("an index")] += 1;
    }
    let sum: u32 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(weights) {
        let share = f64::from(*weight) / f64::from(sum);
        let off = (f64::from(*count) / 200.0 - share).abs();
        assert!(off < 0.02, "{counts:?}");
    }
    assert_eq!(split.next(&vec![0; weights.len()]), None);
}
