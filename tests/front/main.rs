//! Call trees that start at the front, and the return of refused callers.
//!
//! Call trees of eight sequential calls go to one service that can serve half of
//! them; a third are of a more urgent class. Each caller repeats a refused or
//! failed request once. With 15 slots and 15 ms per call the service can serve
//! 125 trees a second. Callers wait five seconds, the objective of an answer is
//! 1.5 s, and an attempt takes 0.8 s at most.

#![allow(missing_docs)]

mod world;

use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::model::{
    CentreName, ClassRank, DemandedLevels, Depth, Instance, Level, Priority, RootId, Slots,
    StartStamp,
};
use bramleymount::policy::admission::{DownstreamLevels, OnwardOutcome};
use bramleymount::policy::front::{
    AdmittedShare, FrontMode, FrontOptions, RefusedCaller, RetryDetector, Trend,
    UNREACHABLE_DEMAND, backoff, boosted_root, is_unreachable,
};
use bramleymount::policy::route::{Table, Target};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;
use world::World;

const RANK: usize = 2;
const LEVELS: FrontOptions = FrontMode::Levels.options();
const BACKOFF: FrontOptions = FrontMode::Backoff.options();
const BOOST: FrontOptions = FrontMode::Boost.options();

fn surge(_: u64) -> f64 {
    2.0
}

/// Varies by 55 in 100 around the capacity, with a period of 15 seconds.
fn wave(now: u64) -> f64 {
    let turn = now as f64 / 15_000.0 * std::f64::consts::TAU;
    1.0 + 0.55 * turn.sin()
}

/// A surge that outlasts callers' time leaves no capacity for more of them, so
/// what counts is who is served: returning callers at least twice as often as new
/// ones, some of whom are still served.
#[tokio::test(start_paused = true)]
async fn boosted_root_serves_returning_callers() {
    let [urgent_before, before] = World::new(LEVELS, surge).run();
    let [urgent, lesser] = World::new(BOOST, surge).run();
    assert!(
        before.served_again() < 1.5 * before.served_new(),
        "{before:?}"
    );
    assert!(
        lesser.served_again() > 2.0 * lesser.served_new(),
        "{lesser:?}"
    );
    assert!(lesser.served() > before.served() - 0.02, "{lesser:?}");
    assert!(
        lesser.served_new() > 0.25 * before.served_new(),
        "{lesser:?}"
    );
    assert!(
        urgent.served() > urgent_before.served() - 0.02,
        "{urgent:?}, before {urgent_before:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn boosted_root_after_a_restart_in_the_surge() {
    let [_, before] = World::new(LEVELS, surge).run();
    let [_, lesser] = World::new(BOOST, surge).restarted(10_000).run();
    assert!(
        lesser.served() > before.served() - 0.02,
        "{lesser:?}, before {before:?}"
    );
    assert!(
        lesser.served_again() > before.served_again(),
        "{lesser:?}, before {before:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn backoff_serves_within_the_objective() {
    let [urgent_before, before] = World::new(LEVELS, surge).run();
    let [urgent, lesser] = World::new(BACKOFF, surge).run();
    assert!(
        lesser.in_time() > before.in_time(),
        "{lesser:?}, before {before:?}"
    );
    assert!(
        urgent.in_time() > urgent_before.in_time() - 0.02,
        "{urgent:?}, before {urgent_before:?}"
    );
}

#[rstest]
#[case::backoff(BACKOFF)]
#[case::boost(BOOST)]
#[tokio::test(start_paused = true)]
async fn options_serve_as_many_in_a_wave(#[case] options: FrontOptions) {
    let [urgent_before, before] = World::new(LEVELS, wave).run();
    let [urgent, lesser] = World::new(options, wave).run();
    assert!(
        lesser.served() > before.served() - 0.02,
        "{lesser:?}, before {before:?}"
    );
    assert!(
        urgent.served() > urgent_before.served() - 0.02,
        "{urgent:?}, before {urgent_before:?}"
    );
}

/// Records requests of a route, and returns whether the last one is a retry.
fn is_retry(times_left: impl IntoIterator<Item = u64>) -> bool {
    let now = Instant::now();
    let mut detector = RetryDetector::new(now);
    let all = times_left.into_iter();
    all.map(|left| detector.observe(now, Duration::from_millis(left)))
        .last()
        .flatten()
        .is_some()
}

#[rstest]
#[case::comes_back(4300, true)]
#[case::comes_back_at_once(4950, false)]
#[case::is_new(5000, false)]
#[case::has_more_time(9000, false)]
fn observe_after_first_attempts_with_five_seconds(#[case] left: u64, #[case] waited: bool) {
    let new = std::iter::repeat_n(5000, 40);
    assert_eq!(is_retry(new.chain([left])), waited);
}

#[test]
fn observe_needs_enough_requests() {
    assert!(!is_retry([5000, 5000, 5000, 4000]));
}

#[test]
fn observe_where_times_differ() {
    let spread = (0..200).map(|n| 1000 + n * 37 % 4000);
    assert!(!is_retry(spread.chain([1500])));
}

/// Callers who have little time from the start are not retrying.
#[test]
fn observe_two_kinds_of_callers() {
    let kinds = (0..200).map(|n| if n % 4 == 0 { 3000 } else { 5000 });
    assert!(!is_retry(kinds.chain([3000])));
}

/// Callers repeat a request up to twice, at times spread over a second.
#[test]
fn observe_while_many_return() {
    let callers = (0..200).flat_map(|n| [5000, 4700 - n * 7 % 1000, 3700 - n * 11 % 1000]);
    assert!(is_retry(callers.chain([4111])));
}

#[test]
fn observe_forgets_former_times() {
    let start = Instant::now();
    let mut detector = RetryDetector::new(start);
    for _ in 0..100 {
        detector.observe(start, Duration::from_secs(9));
    }
    let later = start + Duration::from_secs(30);
    let waited = (0..100).map(|_| detector.observe(later, Duration::from_secs(5)));
    assert_eq!(waited.last().flatten(), None);
}

#[rstest]
#[case::quarter_admitted(0.25, 0.68)]
#[case::half_admitted(0.5, 0.94)]
#[case::few_admitted(0.05, 0.19)]
fn boosted_root_admitted_share(#[case] admitted: f64, #[case] expected: f64) {
    let rank = ClassRank::new(RANK);
    let first = Level::new(rank, 0).index();
    let threshold = first + ((1.0 - admitted) * Level::STEPS as f64) as usize;
    let mut passed = 0;
    for n in 0..2000 {
        let root = boosted_root(RootId::new(n * 7_919 + 1));
        let level = Priority::new(rank, Depth::default(), root).level();
        assert_eq!(level.rank(), rank);
        passed += u32::from(level.index() >= threshold);
    }
    let share = f64::from(passed) / 2000.0;
    assert!((share - expected).abs() < 0.05, "{share}");
}

/// Returns the admitted share of a class after it went from one value to another
/// in two seconds.
fn admitted(from: f64, to: f64) -> AdmittedShare {
    let rank = ClassRank::new(RANK);
    let first = f64::from(Level::new(rank, 0).get());
    let start = Instant::now();
    let mut admitted = AdmittedShare::default();
    for step in 0..=40 {
        let open = from + (to - from) * f64::from(step) / 40.0;
        let threshold = first + (1.0 - open) * Level::STEPS as f64;
        let now = start + Duration::from_millis(50) * step;
        admitted.record(now, rank, Level::from_raw(threshold as u32));
    }
    admitted
}

#[rstest]
#[case::grows(0.3, 0.9, Trend::Grows)]
#[case::steady(0.5, 0.5, Trend::Steady)]
#[case::shrinks(0.9, 0.3, Trend::Shrinks)]
fn admitted_share_trend(#[case] from: f64, #[case] to: f64, #[case] trend: Trend) {
    assert_eq!(admitted(from, to).trend(), trend);
}

/// Returns the mean backoff in milliseconds.
fn mean_backoff(refused: RefusedCaller, admitted: &AdmittedShare) -> f64 {
    let mut rng = StdRng::seed_from_u64(3);
    let backoffs = (0..500).map(|_| {
        let time = backoff(refused, admitted, &mut rng).expect("there is time");
        assert!(
            time <= refused.time_left / 3,
            "at most a third of the time left"
        );
        time.as_secs_f64() * 1000.0
    });
    backoffs.sum::<f64>() / 500.0
}

const fn refused(left: u64, slack: u64) -> RefusedCaller {
    RefusedCaller {
        time_left: Duration::from_millis(left),
        slack: Duration::from_millis(slack),
    }
}

#[rstest]
#[case::in_time(refused(5000, 700))]
#[case::too_late_for_full_use(refused(5000, 0))]
#[case::little_time(refused(1200, 0))]
fn backoff_follows_the_trend(#[case] refused: RefusedCaller) {
    let grows = mean_backoff(refused, &admitted(0.3, 0.8));
    let shrinks = mean_backoff(refused, &admitted(0.8, 0.3));
    assert!(shrinks < grows * 0.8, "{shrinks} and {grows}");
}

#[test]
fn backoff_keeps_the_objective_while_some_are_served() {
    let mut rng = StdRng::seed_from_u64(5);
    let admitted = admitted(0.4, 0.4);
    for _ in 0..500 {
        let time = backoff(refused(5000, 700), &admitted, &mut rng);
        assert!(time.expect("there is time") <= Duration::from_millis(700));
    }
}

#[test]
fn backoff_exceeds_the_slack_where_few_are_admitted() {
    let hopeless = mean_backoff(refused(5000, 700), &admitted(0.02, 0.02));
    assert!(hopeless > 700.0, "{hopeless}");
}

#[test]
fn backoff_is_none_without_time() {
    let mut rng = StdRng::seed_from_u64(5);
    assert_eq!(
        backoff(refused(200, 0), &admitted(0.5, 0.5), &mut rng),
        None
    );
}

#[rstest]
#[case::levels("levels", FrontMode::Levels)]
#[case::backoff("backoff", FrontMode::Backoff)]
#[case::boost("boost", FrontMode::Boost)]
#[case::fail_fast("fail-fast", FrontMode::FailFast)]
fn front_parse(#[case] text: &str, #[case] front: FrontMode) {
    assert_eq!(text.parse::<FrontMode>().ok(), Some(front));
    assert_eq!(front.to_string(), text);
    assert_eq!(front == FrontMode::default(), front.options() == LEVELS);
}

fn instance(port: u16) -> Instance {
    Instance {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        start: StartStamp::new(1, 0),
    }
}

/// Returns a table with this many servers.
fn table(servers: u16) -> Table {
    let centre: CentreName = "dc-1".parse().expect("a name");
    let mut table = Table::new(centre.clone());
    let target = |port| Target::new(instance(port), centre.clone(), Slots::new(1));
    table.update((1..=servers).map(target).collect());
    table
}

#[rstest]
#[case::only_server_asked(1, &[1], true)]
#[case::all_asked(2, &[1, 2], true)]
#[case::one_not_asked(2, &[1], false)]
#[case::no_server(0, &[], true)]
fn is_unreachable_by_servers(
    #[case] servers: u16,
    #[case] asked: &[u16],
    #[case] unreachable: bool,
) {
    let asked: Vec<SocketAddr> = asked.iter().map(|port| instance(*port).address).collect();
    assert_eq!(
        is_unreachable(Instant::now(), &table(servers), &asked),
        unreachable
    );
}

/// Returns downstream levels after a call that did not reach its service.
fn levels_after(
    now: Instant,
    rank: ClassRank,
    demand: DemandedLevels,
    refused: bool,
) -> DownstreamLevels {
    let mut levels = DownstreamLevels::default();
    let outcome = OnwardOutcome {
        service: "last".parse().expect("a name"),
        demand,
        refused,
        failed: true,
    };
    levels.record(now, rank, &[outcome], false);
    levels
}

/// A data centre that cannot reach the last service of a chain starts call trees
/// that all fail. The service above learns this from the first failure; within a
/// second of the last one, trees are let through again.
#[test]
fn unreachable_demand_refuses_trees_until_it_ages() {
    let now = Instant::now();
    let rank = ClassRank::new(RANK);
    let tree = Priority::new(rank, Depth::default(), RootId::new(7)).level();
    let before = levels_after(now, rank, DemandedLevels::default(), false);
    assert!(tree >= before.level(now, rank, false), "admitted before");
    let levels = levels_after(now, rank, UNREACHABLE_DEMAND, true);
    assert!(tree < levels.level(now, rank, false), "refused at once");
    assert!(levels.highest(now).1.contains(rank), "sent up the chain");
    let later = now + Duration::from_secs(1);
    assert!(tree >= levels.level(later, rank, false), "tried again");
    let other = ClassRank::new(RANK + 1);
    assert_eq!(
        levels.level(now, other, false),
        Level::ADMIT_ALL,
        "does not call it"
    );
}
