//! Slot time of one backend server among workspaces that compete.
//!
//! Load pattern: one of many workspaces sends several times its usual, and all
//! calls end at one service whose slots are short for some ten seconds. Figures:
//! 28 slots, calls of 20 ms and of 300 ms, 73 workspaces of which a few are
//! large, as on the users' callsign registry.

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
use load::{Asker, Got, Guard, SLOTS};
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

/// The slots are given work all the time while calls wait.
fn assert_busy(guard: &Guard) {
    let all = SURGE * SLOTS;
    assert!(guard.idle < all.mul_f64(0.02), "{:?} idle", guard.idle);
}

#[rstest]
fn hot_workspace_takes_only_what_others_leave(#[values(1, 2, 3)] seed: u64) {
    let light = Asker::new(1, CAPACITY * 1.5 / 8.0, SHORT_MS);
    let hot = Asker::new(2, light.rate * 7.0, SHORT_MS);
    let mut guard = Guard::new(equal(), seed);
    let got = guard.play(&[light, hot], SURGE);
    assert!(got[0].share() > 0.97, "{got:?}");
    let left = (CAPACITY - light.rate) / hot.rate;
    assert!(got[1].share() > left * 0.95, "{got:?}");
    assert_busy(&guard);
}

#[rstest]
fn long_calls_are_no_way_to_more_time(#[values(1, 2, 3)] seed: u64) {
    let short = Asker::new(1, CAPACITY * 1.5, SHORT_MS);
    // Three times as much time as the short ones ask for.
    let rate = 3.0 * short.rate * SHORT_MS as f64 / LONG_MS as f64;
    let long = Asker::new(2, rate, LONG_MS);
    let mut guard = Guard::new(equal(), seed);
    let got = guard.play(&[short, long], SURGE);
    let ratio = got[1].time.as_secs_f64() / got[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {got:?}");
    assert_busy(&guard);
}

#[test]
fn rates_weigh() {
    let id = |raw| WorkspaceId::from_raw(raw).expect("an id");
    let rates = [
        (id(1), Rate::per_second(30.0)),
        (id(2), Rate::per_second(10.0)),
    ];
    let askers = [1, 2].map(|id| Asker::new(id, CAPACITY, SHORT_MS));
    let got = Guard::new(Some(Weights::new(rates)), 1).play(&askers, SURGE);
    let ratio = got[0].time.as_secs_f64() / got[1].time.as_secs_f64();
    assert!((2.8..3.2).contains(&ratio), "{ratio}: {got:?}");
}

/// 73 workspaces whose calls are as 1, 1/2, 1/3 ..., at `load` of the capacity.
fn zipf(load: f64) -> Vec<Asker> {
    let sum: f64 = (1..=73u32).map(|n| 1.0 / f64::from(n)).sum();
    let rate = |n: u32| CAPACITY * load / sum / f64::from(n);
    (1..=73).map(|n| Asker::new(n, rate(n), SHORT_MS)).collect()
}

fn by_rate(askers: &[Asker]) -> Option<Weights> {
    let rates = askers.iter().filter_map(|asker| {
        let id = asker.id?;
        Some((id, Rate::per_second(asker.rate * 1.6)))
    });
    Some(Weights::new(rates))
}

/// Small workspaces ask in bursts, and what is beyond their part within the
/// longest wait of a call is shed: a tenth of what is due to one, no more.
#[rstest]
fn one_hot_of_73_is_felt_by_itself(#[values(0, 1, 4)] hot: usize, #[values(1, 2)] seed: u64) {
    const LOAD: f64 = 0.8;
    let usual = zipf(LOAD);
    let mut asked = usual.clone();
    asked[hot].rate *= 7.0;
    let got = Guard::new(by_rate(&usual), seed).play(&asked, SURGE);
    let others = || got.iter().enumerate().filter(|(place, _)| *place != hot);
    for (place, got) in others() {
        let due = usual[place].rate / LOAD * SURGE.as_secs_f64();
        let wanted = due.min(f64::from(got.asked));
        assert!(
            f64::from(got.served) > wanted * 0.9,
            "{place}: {got:?}, {due} due"
        );
    }
    assert!(share_of_all(others().map(|(_, got)| got)) > 0.97);
}

/// Served by what was asked, of all these together.
fn share_of_all<'g>(got: impl Iterator<Item = &'g Got>) -> f64 {
    let (served, asked) = got.fold((0, 0), |sum, got| (sum.0 + got.served, sum.1 + got.asked));
    f64::from(served) / f64::from(asked)
}

/// One class asks for two fifths of the capacity, the other for all of it and
/// more.
#[rstest]
fn nobody_starves_in_a_class_that_has_room(#[values(1, 2, 3)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let [urgent, mut lesser] = [zipf(0.4), zipf(1.0)];
    let weights = by_rate(&lesser);
    for asker in &mut lesser {
        asker.rate *= rng.random_range(0.5..3.0);
        asker.takes = Duration::from_millis(rng.random_range(10..30));
    }
    let mut askers = urgent;
    askers.iter_mut().for_each(|asker| asker.rank = 1);
    askers.extend(lesser);
    let got = Guard::new(weights, seed).play(&askers, SURGE);
    for rank in [1, 2] {
        let of = || {
            got.iter()
                .zip(&askers)
                .filter(|(_, asker)| asker.rank == rank)
        };
        let all = share_of_all(of().map(|(got, _)| got));
        for (got, asker) in of().filter(|(got, _)| got.asked >= 20) {
            assert!(got.share() > all / 4.0, "{asker:?}: {got:?}, all {all}");
        }
    }
    assert!(share_of_all(got.iter().take(73)) > 0.97);
}

#[test]
fn workspace_that_is_alone_has_all() {
    let mut guard = Guard::new(equal(), 1);
    let got = guard.play(&[Asker::new(1, CAPACITY * 1.5, SHORT_MS)], SURGE);
    assert!(got[0].share() > 0.98 / 1.5, "{got:?}");
    assert_busy(&guard);
}

#[test]
fn idle_workspace_stores_no_time_up() {
    let both = [1, 2].map(|id| Asker::new(id, CAPACITY, SHORT_MS));
    let mut guard = Guard::new(equal(), 1);
    guard.play(&both[..1], SURGE);
    let got = guard.play(&both, Duration::from_secs(2));
    let ratio = got[1].time.as_secs_f64() / got[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {got:?}");
}

#[test]
fn classes_stay_strict() {
    let mut urgent = Asker::new(1, CAPACITY * 0.9, SHORT_MS);
    urgent.rank = 0;
    let lesser = Asker::new(2, CAPACITY, SHORT_MS);
    let got = Guard::new(equal(), 1).play(&[urgent, lesser], SURGE);
    assert!(got[0].share() > 0.97, "{got:?}");
}

/// A backend server that answers nobody holds the slots until the callers give
/// up; whose calls these were is no reason to put it last afterwards.
#[rstest]
fn time_without_answers_is_charged_to_nobody(#[values(true, false)] restarts: bool) {
    let both = [1, 2].map(|id| Asker::new(id, CAPACITY, SHORT_MS));
    let mut guard = Guard::new(equal(), 1);
    guard.play(&both, Duration::from_secs(1));
    guard.hangs = true;
    guard.play(&both[..1], Duration::from_secs(3));
    guard.hangs = false;
    if restarts {
        guard.admission.forget(Slots::new(SLOTS));
    }
    // The calls that hang end within the callers' patience.
    guard.play(&both, Duration::from_secs(2));
    let got = guard.play(&both, Duration::from_secs(2));
    let ratio = got[1].time.as_secs_f64() / got[0].time.as_secs_f64();
    assert!((0.9..1.1).contains(&ratio), "{ratio}: {got:?}");
}

#[test]
fn accounts_fade() {
    let mut guard = Guard::new(equal(), 1);
    for round in 0..20 {
        let first = round * 100 + 1;
        let askers = (first..first + 100).map(|id| Asker::new(id, 10.0, SHORT_MS));
        guard.play(&askers.collect::<Vec<_>>(), SURGE);
    }
    let accounts = guard.admission.fair_queue().map(|fair| fair.accounts());
    assert!(
        accounts.is_some_and(|accounts| accounts <= 200),
        "{accounts:?}"
    );
}

fn waiting(rng: &mut StdRng, token: u64, now: Instant) -> QueuedCall {
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

/// Calls without a workspace are served in the order of the queue that knows
/// none.
#[test]
fn queue_without_workspaces_as_before() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut plain = PriorityQueue::default();
        let mut fair = FairQueue::new(now, Weights::default());
        for token in 0..2000 {
            let call = waiting(&mut rng, token, now);
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

/// Where workspaces are not declared, what callers send of them changes nothing.
#[test]
fn decisions_without_workspaces_as_before() {
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
            let call = waiting(&mut rng, token, now);
            let named = QueuedCall {
                workspace: WorkspaceId::from_raw(rng.random_range(0..5)),
                ..call
            };
            let ended = CallToken(rng.random_range(token.saturating_sub(40)..=token));
            let does = rng.random_range(0..10);
            let [plain, fair, ignores] = &mut guards;
            let each = |guard: &mut Admission, call: QueuedCall| match does {
                0..7 => format!("{:?}", guard.arrive(now, call)),
                7 => format!("{:?}", guard.expire(now)),
                _ => format!("{:?}", guard.finish(now, ended, Outcome::Answered)),
            };
            let before = each(plain, call);
            assert_eq!(before, each(fair, call), "seed {seed}");
            assert_eq!(before, each(ignores, named), "seed {seed}");
        }
    }
}

#[rstest]
#[case("north")]
#[case("south_2")]
fn id_is_read_back(#[case] name: &str) {
    let name: WorkspaceName = name.parse().expect("a name");
    let id = WorkspaceId::of(&name);
    assert_eq!(id.to_string().parse::<WorkspaceId>().ok(), Some(id));
    assert_eq!(WorkspaceId::from_raw(id.get()), Some(id));
    assert_eq!(WorkspaceId::from_raw(0), None);
}
