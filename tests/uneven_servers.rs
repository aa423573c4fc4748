//! Choice between backend servers of different speed.
//!
//! A service of 30 servers uses 4 in 100 of its slots; one in four servers takes
//! twice as long as the others, and any may slow down 2.5-fold for 600 ms.
//! Callers give up soon after the mean time of an answer, so slow servers cost
//! answers. Servers have 83 slots and take 120 ms per call.

#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bramleymount::config::Config;
use bramleymount::declare::{Estate, Route, load};
use bramleymount::model::{
    CentreName, ClassRank, Depth, GuardStatus, Instance, Level, Percent, PositiveDuration, Slots,
    StartStamp,
};
use bramleymount::policy::route::{
    AttemptReport, Balance, CallKind, CallNeeds, CallTime, Pick, Table, Target, TargetState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

const SLOTS: u32 = 83;
const WORK_MS: f64 = 120.0;
/// Times of four neighbouring servers as multiples of the mean, for speeds of
/// 0.55 and 1.2.
const TIME_RATIOS: [f64; 4] = [1.0 / 0.55, 1.0 / 1.2, 1.0 / 1.2, 1.0 / 1.2];

fn kind(depth: u8) -> CallKind {
    CallKind {
        rank: ClassRank::new(0),
        depth: Depth::new(depth),
    }
}

fn centre() -> CentreName {
    "near".parse().expect("a name")
}

fn instance(n: usize) -> Instance {
    let address = SocketAddr::from(([10, 0, 0, 1], n as u16));
    Instance::new(address, StartStamp::new(1, 0))
}

fn target(n: usize) -> Target {
    Target::new(instance(n), centre(), Slots::new(SLOTS))
}

fn table(targets: usize, by_time: bool) -> Table {
    let mut table = Table::new(centre());
    table.set_by_time(by_time);
    table.update((0..targets).map(target).collect());
    table
}

const NEEDS: CallNeeds = CallNeeds {
    level: Level::ADMIT_ALL,
    protected: false,
    avoid: None,
};

struct InFlight {
    end_ms: f64,
    entry: usize,
    server: usize,
    time: Duration,
}

/// Servers of a service, and entries that send them calls.
struct World {
    entries: Vec<Table>,
    /// Time of a call at each server, in milliseconds.
    times_ms: Vec<f64>,
    calls: Vec<u32>,
    max_in_flight: Vec<u32>,
    in_flight: Vec<InFlight>,
    now_ms: f64,
    start: Instant,
    rng: StdRng,
}

impl World {
    fn new(entries: usize, times_ms: Vec<f64>, by_time: bool) -> Self {
        let servers = times_ms.len();
        let entries = (0..entries).map(|_| table(servers, by_time));
        Self {
            entries: entries.collect(),
            times_ms,
            calls: vec![0; servers],
            max_in_flight: vec![0; servers],
            in_flight: Vec::new(),
            now_ms: 0.0,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(11),
        }
    }

    fn uneven(entries: usize, by_time: bool) -> Self {
        let times_ms = TIME_RATIOS
            .iter()
            .cycle()
            .take(30)
            .map(|ratio| WORK_MS * ratio);
        Self::new(entries, times_ms.collect(), by_time)
    }

    /// Returns the calls per second that occupy a share of all slots.
    fn rate(&self, share: f64) -> f64 {
        let full = |time: &f64| f64::from(SLOTS) * 1000.0 / time;
        share * self.times_ms.iter().map(full).sum::<f64>()
    }

    fn load(&self, server: usize) -> u32 {
        self.in_flight.iter().filter(|u| u.server == server).count() as u32
    }

    /// Sends calls for a while, with the counters reset.
    fn run(&mut self, ms: f64, per_second: f64) {
        self.calls.fill(0);
        self.max_in_flight.fill(0);
        let end = self.now_ms + ms;
        loop {
            let chance: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            self.now_ms -= chance.ln() * 1000.0 / per_second;
            if self.now_ms >= end {
                break;
            }
            self.finish();
            self.send();
        }
        self.now_ms = end;
        self.finish();
    }

    fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1000.0)
    }

    fn send(&mut self) {
        let entry = self.rng.random_range(0..self.entries.len());
        let now = self.at(self.now_ms);
        let Pick::Target(chosen) = self.entries[entry].choose(now, NEEDS, &mut self.rng) else {
            panic!("no target");
        };
        let server = usize::from(chosen.address.port());
        let time = self.times_ms[server] * self.rng.random_range(0.7..1.3);
        self.calls[server] += 1;
        self.in_flight.push(InFlight {
            end_ms: self.now_ms + time,
            entry,
            server,
            time: Duration::from_secs_f64(time / 1000.0),
        });
        self.max_in_flight[server] = self.max_in_flight[server].max(self.load(server));
    }

    fn finish(&mut self) {
        self.in_flight.sort_by(|a, b| b.end_ms.total_cmp(&a.end_ms));
        while let Some(in_flight) = self
            .in_flight
            .pop_if(|in_flight| in_flight.end_ms <= self.now_ms)
        {
            let status = GuardStatus {
                load: self.load(in_flight.server),
                ..GuardStatus::default()
            };
            let (now, at) = (self.at(in_flight.end_ms), instance(in_flight.server));
            let table = &mut self.entries[in_flight.entry];
            table.report(now, at, AttemptReport::Responded(status));
            table.record_time(now, at, kind(2), CallTime::Answered(in_flight.time));
        }
    }

    fn share(&self, servers: impl Fn(usize) -> bool) -> f64 {
        let all: u32 = self.calls.iter().sum();
        let some = self.calls.iter().enumerate().filter(|(n, _)| servers(*n));
        some.map(|(_, calls)| f64::from(*calls)).sum::<f64>() / f64::from(all)
    }

    fn mean_ms(&self) -> f64 {
        let shares = (0..self.times_ms.len()).map(|n| self.times_ms[n] * self.share(|m| m == n));
        shares.sum()
    }
}

#[test]
fn choose_sends_few_calls_to_slow_servers() {
    let run = |by_time| {
        let mut world = World::uneven(24, by_time);
        let rate = world.rate(0.04);
        world.run(5000.0, rate);
        world.run(5000.0, rate);
        (world.share(|n| n % 4 == 0), world.mean_ms())
    };
    let (slow, mean) = run(true);
    let (slow_by_load, mean_by_load) = run(false);
    assert!(slow_by_load > 0.15, "{slow_by_load} by load");
    assert!(slow < 0.08, "{slow} of the calls go to slow servers");
    // With all calls at fast servers the mean is 100 ms.
    assert!(mean < 108.0, "{mean} ms, {mean_by_load} by load");
}

#[rstest]
#[case::alone(1, 0.9)]
#[case::many_entries(24, 0.4)]
fn choose_fills_no_server_while_others_have_free_slots(#[case] entries: usize, #[case] share: f64) {
    let mut world = World::uneven(entries, true);
    let rate = world.rate(share);
    world.run(1500.0, rate);
    world.run(1500.0, rate);
    let most = world.max_in_flight.iter().max().expect("servers");
    assert!(*most <= SLOTS, "{most} calls at one server");
}

/// Each of many entries knows little about the calls of the others.
#[test]
fn choose_by_time_crowds_servers_less_than_by_load() {
    let most = |by_time| {
        let mut world = World::uneven(24, by_time);
        let rate = world.rate(0.8);
        world.run(1500.0, rate);
        world.run(1500.0, rate);
        world.max_in_flight.iter().copied().max().expect("servers")
    };
    let (by_time, by_load) = (most(true), most(false));
    assert!(by_time < by_load, "{by_time} calls, {by_load} by load");
}

/// Calls of 35 ms, of which each server gets 50 a second.
#[test]
fn choose_avoids_a_slowdown_and_comes_back() {
    let mut world = World::new(1, vec![35.0; 20], true);
    world.run(4000.0, 1000.0);
    let before = world.share(|n| n == 3);
    world.times_ms[3] *= 2.5;
    world.run(100.0, 1000.0);
    world.run(500.0, 1000.0);
    let during = world.share(|n| n == 3);
    world.times_ms[3] /= 2.5;
    world.run(1000.0, 1000.0);
    world.run(1000.0, 1000.0);
    let after = world.share(|n| n == 3);
    assert!(during < before / 3.0, "{during} of calls, {before} before");
    assert!(after > before * 0.6, "{after} of calls, {before} before");
}

#[rstest]
#[case::fast(100.0, 0.5)]
#[case::of_mean_speed(120.0, 0.15)]
fn update_gives_a_new_server_its_share(#[case] time: f64, #[case] part: f64) {
    let mut world = World::uneven(24, true);
    let rate = world.rate(0.04);
    let all = 0..world.times_ms.len();
    world.run(5000.0, rate);
    world.times_ms.push(time);
    world.calls.push(0);
    world.max_in_flight.push(0);
    for table in &mut world.entries {
        table.update(all.clone().chain([30]).map(target).collect());
    }
    world.run(1000.0, rate);
    let share = world.share(|n| n == 30) * 31.0;
    assert!(share > part, "{share} of the mean");
    assert!(share < 5.0, "{share} of the mean");
}

#[test]
fn choose_skips_a_leaving_server() {
    let mut table = table(3, true);
    let now = Instant::now();
    table.record_time(
        now,
        instance(1),
        kind(2),
        CallTime::Answered(Duration::from_millis(9)),
    );
    let mut targets: Vec<Target> = (0..3).map(target).collect();
    targets[1].state = TargetState::Leaving;
    table.update(targets);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        let picked = table.choose(now, NEEDS, &mut rng);
        assert_ne!(picked, Pick::Target(instance(1)));
    }
}

/// Returns the latency ratio of each target.
fn ratios(table: &Table, now: Instant) -> Vec<f64> {
    table
        .targets()
        .map(|t| t.latency_ratio().ratio(now))
        .collect()
}

/// One server happens to get the long calls, another the short ones.
#[test]
fn record_time_separates_long_calls_from_slow_servers() {
    let mut table = table(4, true);
    let mut now = Instant::now();
    let (short, long) = (kind(0), kind(1));
    for turn in 0..400_usize {
        now += Duration::from_millis(5);
        let at = turn % 4;
        let is_long = match at {
            0 => true,
            1 => false,
            _ => turn % 3 == 0,
        };
        let (kind, ms) = if is_long { (long, 200) } else { (short, 20) };
        let call_time = CallTime::Answered(Duration::from_millis(ms));
        table.record_time(now, instance(at), kind, call_time);
    }
    for ratio in ratios(&table, now) {
        assert!((0.8..1.25).contains(&ratio), "{:?}", ratios(&table, now));
    }
}

/// One server fails its calls within a millisecond, which is no sign of speed.
#[test]
fn record_time_ignores_fast_failures() {
    let mut table = table(4, true);
    let mut now = Instant::now();
    for turn in 0..400_usize {
        now += Duration::from_millis(5);
        let call_time = match turn % 4 {
            0 => CallTime::Unanswered(Duration::from_millis(1)),
            _ => CallTime::Answered(Duration::from_millis(100)),
        };
        table.record_time(now, instance(turn % 4), kind(2), call_time);
    }
    assert!(ratios(&table, now)[0] >= 1.0, "{:?}", ratios(&table, now));
}

/// One server is so slow that callers give up before it answers.
#[test]
fn record_time_learns_from_unanswered_calls() {
    let mut table = table(4, true);
    let mut now = Instant::now();
    for turn in 0..400_usize {
        now += Duration::from_millis(5);
        let call_time = match turn % 4 {
            0 => CallTime::Unanswered(Duration::from_millis(180)),
            _ => CallTime::Answered(Duration::from_millis(100)),
        };
        table.record_time(now, instance(turn % 4), kind(2), call_time);
    }
    assert!(ratios(&table, now)[0] > 1.5, "{:?}", ratios(&table, now));
}

/// A server that was slow gets calls again once what is known of it is old.
#[test]
fn ratio_decays_to_the_mean() {
    let mut table = table(2, true);
    let mut now = Instant::now();
    for turn in 0..200_usize {
        now += Duration::from_millis(50);
        let ms = if turn % 2 == 0 { 200 } else { 100 };
        let call_time = CallTime::Answered(Duration::from_millis(ms));
        table.record_time(now, instance(turn % 2), kind(2), call_time);
    }
    let slow = ratios(&table, now)[0];
    let later = ratios(&table, now + Duration::from_secs(30))[0];
    assert!(slow > 1.25, "{slow}");
    assert!(later < 1.1, "{later}, {slow} before");
}

/// Without the setting, recorded times do not affect choices.
#[test]
fn choose_by_load_ignores_times() {
    let (mut timed, mut plain) = (table(8, false), Table::new(centre()));
    plain.update((0..8).map(target).collect());
    let (mut one, mut other) = (StdRng::seed_from_u64(5), StdRng::seed_from_u64(5));
    let mut now = Instant::now();
    for turn in 0..1000_u32 {
        now += Duration::from_millis(3);
        let picked = timed.choose(now, NEEDS, &mut one);
        assert_eq!(picked, plain.choose(now, NEEDS, &mut other));
        let Pick::Target(at) = picked else {
            panic!("no target");
        };
        let status = GuardStatus {
            load: turn % 40,
            fault_share: Percent::new(0),
            ..GuardStatus::default()
        };
        timed.report(now, at, AttemptReport::Responded(status));
        plain.report(now, at, AttemptReport::Responded(status));
        let time = Duration::from_millis(u64::from(at.address.port()) * 50);
        timed.record_time(now, at, kind(2), CallTime::Answered(time));
    }
    assert!(ratios(&timed, now).iter().all(|ratio| *ratio == 1.0));
}

/// Returns the example with two routes, one of which ends requests early.
fn estate(timeout: u64) -> Estate {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/hrabovsky");
    let mut estate = load(&dir).unwrap_or_else(|e| panic!("{e}"));
    let route = |name: &str, timeout| Route {
        name: name.parse().expect("a name"),
        host: name.into(),
        path: "/".into(),
        shares: Vec::new(),
        class: estate.classes[0].name.clone(),
        idempotent: true,
        timeout: PositiveDuration::from_millis(timeout),
        objective: PositiveDuration::from_millis(1000),
        attempts: 1,
        public: false,
    };
    estate.routes = vec![route("one", 1000), route("other", timeout)];
    estate
}

#[rstest]
#[case::load(Balance::Load, 500, false)]
#[case::time(Balance::Time, 1500, true)]
#[case::auto_without(Balance::Auto, 1000, false)]
#[case::auto_with(Balance::Auto, 999, true)]
fn balance_auto_compares_time_where_requests_end_early(
    #[case] balance: Balance,
    #[case] timeout: u64,
    #[case] by_time: bool,
) {
    let ends_early = estate(timeout).has_early_timeout();
    assert_eq!(balance.is_by_time(ends_early), by_time);
}

#[rstest]
#[case::left_out("", Ok(Balance::Load))]
#[case::named("balance: auto\n", Ok(Balance::Auto))]
#[case::unknown("balance: speed\n", Err("must be load, time or auto"))]
fn parse_reads_balance(#[case] line: &str, #[case] expected: Result<Balance, &str>) {
    let text = format!(
        "data_centre: a\nhall: a\nservice: s\nlisten:\n  callers: 10.1.0.8:1\n  \
         peers: 10.1.0.8:2\n  operators: 127.0.0.1:3\nbackend: 127.0.0.1:4\n\
         platform: 10.1.0.9:5\n{line}"
    );
    let config = Config::parse(Path::new("settings.yaml"), text.as_bytes());
    match (config, expected) {
        (Ok(config), Ok(balance)) => assert_eq!(config.balance, balance),
        (Err(errors), Err(why)) => {
            let errors = errors.to_string();
            assert!(errors.contains(why) && errors.contains(":10"), "{errors}");
        }
        (config, expected) => panic!("{config:?} in place of {expected:?}"),
    }
}

/// The only server of the own data centre answers in `near` ms, the one of
/// another in `far` ms, network time included; half of the slots are in use at
/// both.
#[rstest]
#[case::clearly_slower(50, 25, 0.6, 1.0)]
#[case::a_little_slower(30, 25, 0.0, 0.2)]
#[case::faster(25, 60, 0.0, 0.05)]
fn choose_goes_to_other_centre_for_clearly_less_time(
    #[case] near: u64,
    #[case] far: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let mut table = table(1, true);
    let other = Target::new(
        instance(1),
        "far".parse().expect("a name"),
        Slots::new(SLOTS),
    );
    table.update(vec![target(0), other]);
    let mut rng = StdRng::seed_from_u64(3);
    let mut now = Instant::now();
    let mut calls = [0, 0];
    for turn in 0..4000 {
        now += Duration::from_millis(2);
        let Pick::Target(at) = table.choose(now, NEEDS, &mut rng) else {
            panic!("no target");
        };
        let status = GuardStatus {
            load: SLOTS / 2,
            ..GuardStatus::default()
        };
        table.report(now, at, AttemptReport::Responded(status));
        let server = usize::from(at.address.port());
        let time = Duration::from_millis([near, far][server]);
        table.record_time(now, at, kind(2), CallTime::Answered(time));
        calls[server] += u32::from(turn >= 2000);
    }
    let share = f64::from(calls[1]) / 2000.0;
    assert!((least..=most).contains(&share), "{share} of the calls");
}
