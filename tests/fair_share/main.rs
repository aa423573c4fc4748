//! Sharing of one backend server's slot time among competing workspaces.
//!
//! Guards against one workspace that crowds out the others: it sends several times its
//! usual load, and the slots of the service are short for about ten seconds. Figures:
//! 28 slots, calls of 20 ms and of 300 ms, 73 workspaces of which a few are large.

#![allow(missing_docs)]

mod inner;
mod load;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use bramleymount::model::{
    ClassRank, Depth, Priority, Rate, RootId, Slots, WorkspaceId, WorkspaceName,
};
use bramleymount::policy::admission::{
    Admission, CallToken, FairQueue, Outcome, PriorityQueue, QueuedCall, Settings, Weights,
};
use load::{Guard, Load, SLOTS, Service};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

/// How long slots are short.
const SURGE: Duration = Duration::from_secs(10);
const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 300;
/// Calls of 20 ms a second that the slots serve.
const CAPACITY: f64 = SLOTS as f64 * 1000.0 / SHORT_MS as f64;

fn equal() -> Option<Weights> {
    Some(Weights::default())
}

/// Asserts that slots were hardly ever idle.
fn assert_busy(guard: &Guard) {
    let all = SURGE * SLOTS;
    assert!(guard.idle < all.mul_f64(0.02), "{:?} idle", guard.idle);
}

#[rstest]
fn hot_workspace_gets_only_unused_time(#[values(1, 2, 3)] seed: u64) {
    let light = Load::new(1, CAPACITY * 1.5 / 8.0, SHORT_MS);
    let hot = Load::new(2, light.rate * 7.0, SHORT_MS);
    let mut guard = Guard::new(equal(), seed);
    let received = guard.simulate(&[light, hot], SURGE);
    assert!(received[0].share() > 0.97, "{received:?}");
    let left = (CAPACITY - light.rate) / hot.rate;
    assert!(received[1].share() > left * 0.95, "{received:?}");
    assert_busy(&guard);
}

#[rstest]
fn long_calls_gain_no_time(#[values(1, 2, 3)] seed: u64) {
    let short = Load::new(1, CAPACITY * 1.5, SHORT_MS);
    // Three times as much slot time as the short calls ask for.
    let rate = 3.0 * short.rate * SHORT_MS as f64 / LONG_MS as f64;
    let long = Load::new(2, rate, LONG_MS);
    let mut guard = Guard::new(equal(), seed);
    let received = guard.simulate(&[short, long], SURGE);
    let ratio = received[1].time.as_secs_f64() / received[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {received:?}");
    assert_busy(&guard);
}

#[test]
fn time_is_shared_by_rate() {
    let id = |raw| WorkspaceId::from_raw(raw).expect("an id");
    let rates = [
        (id(1), Rate::per_second(30.0)),
        (id(2), Rate::per_second(10.0)),
    ];
    let loads = [1, 2].map(|id| Load::new(id, CAPACITY, SHORT_MS));
    let received = Guard::new(Some(Weights::new(rates)), 1).simulate(&loads, SURGE);
    let ratio = received[0].time.as_secs_f64() / received[1].time.as_secs_f64();
    assert!((2.8..3.2).contains(&ratio), "{ratio}: {received:?}");
}

/// Returns 73 workspaces whose call rates are as 1, 1/2, 1/3 ..., at `load` times the
/// capacity.
fn zipf(load: f64) -> Vec<Load> {
    let sum: f64 = (1..=73u32).map(|n| 1.0 / f64::from(n)).sum();
    let rate = |n: u32| CAPACITY * load / sum / f64::from(n);
    (1..=73).map(|n| Load::new(n, rate(n), SHORT_MS)).collect()
}

fn by_rate(loads: &[Load]) -> Option<Weights> {
    let rates = loads.iter().filter_map(|load| {
        let id = load.id?;
        Some((id, Rate::per_second(load.rate * 1.6)))
    });
    Some(Weights::new(rates))
}

/// Small workspaces send bursts. Calls beyond their share within the longest wait of a
/// call are shed: at most a tenth of what a workspace is due.
#[rstest]
fn one_hot_of_73_spares_others(#[values(0, 1, 4)] hot: usize, #[values(1, 2)] seed: u64) {
    const LOAD: f64 = 0.8;
    let usual = zipf(LOAD);
    let mut loads = usual.clone();
    loads[hot].rate *= 7.0;
    let received = Guard::new(by_rate(&usual), seed).simulate(&loads, SURGE);
    let others = || {
        received
            .iter()
            .enumerate()
            .filter(|(place, _)| *place != hot)
    };
    for (place, received) in others() {
        let due = usual[place].rate / LOAD * SURGE.as_secs_f64();
        let wanted = due.min(f64::from(received.calls));
        assert!(
            f64::from(received.served) > wanted * 0.9,
            "{place}: {received:?}, {due} due"
        );
    }
    assert!(share_of_all(others().map(|(_, received)| received)) > 0.97);
}

/// Returns the share of the calls of all these workspaces that was served.
fn share_of_all<'g>(received: impl Iterator<Item = &'g Service>) -> f64 {
    let (served, calls) = received.fold((0, 0), |sum, received| {
        (sum.0 + received.served, sum.1 + received.calls)
    });
    f64::from(served) / f64::from(calls)
}

/// One class asks for two fifths of the capacity, the other for more than all of it.
#[rstest]
fn no_workspace_starves_in_class_with_capacity(#[values(1, 2, 3)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let [urgent, mut lesser] = [zipf(0.4), zipf(1.0)];
    let weights = by_rate(&lesser);
    for load in &mut lesser {
        load.rate *= rng.random_range(0.5..3.0);
        load.call_time = Duration::from_millis(rng.random_range(10..30));
    }
    let mut loads = urgent;
    loads.iter_mut().for_each(|load| load.rank = 1);
    loads.extend(lesser);
    let received = Guard::new(weights, seed).simulate(&loads, SURGE);
    for rank in [1, 2] {
        let of = || {
            received
                .iter()
                .zip(&loads)
                .filter(|(_, load)| load.rank == rank)
        };
        let all = share_of_all(of().map(|(received, _)| received));
        for (received, load) in of().filter(|(received, _)| received.calls >= 20) {
            assert!(
                received.share() > all / 4.0,
                "{load:?}: {received:?}, all {all}"
            );
        }
    }
    assert!(share_of_all(received.iter().take(73)) > 0.97);
}

#[test]
fn lone_workspace_gets_all_time() {
    let mut guard = Guard::new(equal(), 1);
    let received = guard.simulate(&[Load::new(1, CAPACITY * 1.5, SHORT_MS)], SURGE);
    assert!(received[0].share() > 0.98 / 1.5, "{received:?}");
    assert_busy(&guard);
}

#[test]
fn idle_workspace_keeps_no_credit() {
    let both = [1, 2].map(|id| Load::new(id, CAPACITY, SHORT_MS));
    let mut guard = Guard::new(equal(), 1);
    guard.simulate(&both[..1], SURGE);
    let received = guard.simulate(&both, Duration::from_secs(2));
    let ratio = received[1].time.as_secs_f64() / received[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {received:?}");
}

#[test]
fn classes_are_strict() {
    let mut urgent = Load::new(1, CAPACITY * 0.9, SHORT_MS);
    urgent.rank = 0;
    let lesser = Load::new(2, CAPACITY, SHORT_MS);
    let received = Guard::new(equal(), 1).simulate(&[urgent, lesser], SURGE);
    assert!(received[0].share() > 0.97, "{received:?}");
}

/// The calls to a server that hangs hold its slots until the callers give up. The
/// workspace that sent them must not be put last afterwards.
#[rstest]
fn time_without_answers_is_not_charged(#[values(true, false)] restarts: bool) {
    let both = [1, 2].map(|id| Load::new(id, CAPACITY, SHORT_MS));
    let mut guard = Guard::new(equal(), 1);
    guard.simulate(&both, Duration::from_secs(1));
    guard.hangs = true;
    guard.simulate(&both[..1], Duration::from_secs(3));
    guard.hangs = false;
    if restarts {
        guard.admission.forget(Slots::new(SLOTS));
    }
    // Hanging calls end within the callers' timeout.
    guard.simulate(&both, Duration::from_secs(2));
    let received = guard.simulate(&both, Duration::from_secs(2));
    let ratio = received[1].time.as_secs_f64() / received[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {received:?}");
}

#[test]
fn idle_accounts_are_removed() {
    let mut guard = Guard::new(equal(), 1);
    for round in 0..20 {
        let first = round * 100 + 1;
        let loads = (first..first + 100).map(|id| Load::new(id, 10.0, SHORT_MS));
        guard.simulate(&loads.collect::<Vec<_>>(), SURGE);
    }
    let accounts = guard.admission.fair_queue().map(|fair| fair.accounts());
    assert!(
        accounts.is_some_and(|accounts| accounts <= 200),
        "{accounts:?}"
    );
}

fn random_call(rng: &mut StdRng, token: u64, now: Instant) -> QueuedCall {
    let rank = ClassRank::new(rng.random_range(0..4));
    let depth = Depth::new(rng.random_range(0..4));
    let deadline = now + Duration::from_millis(rng.random_range(1..400));
    QueuedCall {
        token: CallToken(token),
        priority: Priority::new(rank, depth, RootId::new(rng.random())),
        workspace: None,
        deadline,
        expires: deadline,
        may_wait: true,
    }
}

/// Calls without a workspace are served in the order of the plain priority queue.
#[test]
fn queue_without_workspaces_matches_plain_queue() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut plain = PriorityQueue::default();
        let mut fair = FairQueue::new(now, Weights::default());
        for token in 0..2000 {
            let call = random_call(&mut rng, token, now);
            match rng.random_range(0..5) {
                0 => assert_eq!(plain.pop_first(), fair.pop_first()),
                1 => {
                    let evicted = match plain.least() {
                        Some(least) if least.priority < call.priority => plain.pop_least(),
                        _ => None,
                    };
                    fair.record_arrival(now, &call);
                    assert_eq!(evicted, fair.make_room(&call));
                }
                _ => {
                    plain.push(call);
                    fair.record_arrival(now, &call);
                    fair.push(now, call);
                }
            }
        }
    }
}

/// Without declared workspaces, a call's workspace doesn't affect decisions.
#[test]
fn decisions_without_workspaces_match_plain_queue() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let settings = Settings {
            slots: Slots::new(8),
            cold: seed % 2 == 0,
            protected: Some(ClassRank::new(1)),
        };
        let mut guards = [false, true, false].map(|shares| {
            let mut guard = Admission::new(now, settings);
            guard.set_weights(now, shares.then(Weights::default));
            guard
        });
        for token in 0..3000 {
            now += Duration::from_micros(rng.random_range(1..1500));
            let call = random_call(&mut rng, token, now);
            let with_workspace = QueuedCall {
                workspace: WorkspaceId::from_raw(rng.random_range(0..5)),
                ..call
            };
            let ended = CallToken(rng.random_range(token.saturating_sub(40)..=token));
            let action = rng.random_range(0..10);
            let [plain, fair, ignores] = &mut guards;
            let each = |guard: &mut Admission, call: QueuedCall| match action {
                0..7 => format!("{:?}", guard.arrive(now, call)),
                7 => format!("{:?}", guard.expire(now)),
                _ => format!("{:?}", guard.finish(now, ended, Outcome::Answered)),
            };
            let before = each(plain, call);
            assert_eq!(before, each(fair, call), "seed {seed}");
            assert_eq!(before, each(ignores, with_workspace), "seed {seed}");
        }
    }
}

#[rstest]
#[case("north")]
#[case("south_2")]
fn workspace_id_round_trips(#[case] name: &str) {
    let name: WorkspaceName = name.parse().expect("a name");
    let id = WorkspaceId::of(&name);
    assert_eq!(id.to_string().parse::<WorkspaceId>().ok(), Some(id));
    assert_eq!(WorkspaceId::from_raw(id.get()), Some(id));
    assert_eq!(WorkspaceId::from_raw(0), None);
}
