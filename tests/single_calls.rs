//! Single calls of callers beside call trees of the same class.
//!
//! In a surge at the last service of a chain, one class holds both requests that
//! need a single call there and call trees that need eight, at twice the rate
//! that can be served. Single calls must not be refused as often as the trees.
//! The service has 15 slots and takes 15 ms for a read of a tree and 48 ms for a
//! single call, of which 25 a second arrive, as on a small site; a single call is
//! useful for 150 ms.

#![allow(missing_docs)]

use std::collections::HashMap;
use std::time::Duration;

use bramleymount::model::{ClassRank, Depth, Level, Priority, RootId, Slots};
use bramleymount::policy::admission::{
    Admission, CallToken, Decision, Event, QueuedCall, Settings,
};
use bramleymount::policy::route::Table;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use tokio::time::Instant;

const SLOTS: u32 = 15;
const READ_MS: u64 = 15;
const SINGLE_MS: u64 = 48;
/// Call trees per second, which need twice what can be served.
const TREES_PER_SECOND: f64 = 250.0;
const SINGLES_PER_SECOND: f64 = 25.0;
const READS_PER_TREE: u32 = 8;
const USEFUL_MS: u64 = 150;
const RUN_MS: u64 = 10_000;
const RANK: usize = 2;

#[derive(Clone, Copy)]
enum Work {
    Single { arrival: u64 },
    Read { root: RootId, reads_left: u32 },
}

struct World {
    admission: Admission,
    start: Instant,
    rng: StdRng,
    work: HashMap<CallToken, Work>,
    running: Vec<(u64, CallToken)>,
    next_token: u64,
    mark_singles: bool,
    singles_served: u32,
    trees_served: u32,
}

impl World {
    fn new(mark_singles: bool) -> Self {
        let start = Instant::now();
        let settings = Settings {
            slots: Slots::new(SLOTS),
            cold: false,
            protected: None,
        };
        Self {
            admission: Admission::new(start, settings),
            start,
            rng: StdRng::seed_from_u64(7),
            work: HashMap::new(),
            running: Vec::new(),
            next_token: 0,
            mark_singles,
            singles_served: 0,
            trees_served: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn arrive(&mut self, now: u64, work: Work) {
        let rank = ClassRank::new(RANK);
        let (priority, time) = match work {
            Work::Single { .. } => {
                let root = RootId::new(self.rng.random());
                let priority = if self.mark_singles {
                    Priority::for_single_call(rank, root)
                } else {
                    Priority::new(rank, Depth::default(), root)
                };
                (priority, 600)
            }
            Work::Read { root, .. } => (Priority::new(rank, Depth::new(3), root), 700),
        };
        self.next_token += 1;
        let token = CallToken(self.next_token);
        self.work.insert(token, work);
        let deadline = self.at(now + time);
        let call = QueuedCall {
            token,
            priority,
            workspace: None,
            deadline,
            expires: deadline,
            may_wait: true,
        };
        let (decision, events) = self.admission.arrive(self.at(now), call);
        match decision {
            Decision::Start => self.begin(now, token),
            Decision::Wait(_) => {}
            Decision::Shed(_) => drop(self.work.remove(&token)),
        }
        self.apply(now, events);
    }

    fn apply(&mut self, now: u64, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Start(token) => self.begin(now, token),
                Event::Shed(token, _) => drop(self.work.remove(&token)),
            }
        }
    }

    fn begin(&mut self, now: u64, token: CallToken) {
        let time = match self.work[&token] {
            Work::Single { .. } => SINGLE_MS,
            Work::Read { .. } => READ_MS,
        };
        self.running.push((now + time, token));
    }

    fn finish(&mut self, now: u64) {
        let (ended, running) = self.running.iter().partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, CallToken)> = ended;
        for (_, token) in ended {
            let outcome = bramleymount::policy::admission::Outcome::Answered;
            let events = self.admission.finish(self.at(now), token, outcome);
            self.apply(now, events);
            match self.work.remove(&token) {
                Some(Work::Single { arrival }) if now - arrival <= USEFUL_MS => {
                    self.singles_served += 1
                }
                Some(Work::Read { reads_left: 1, .. }) => self.trees_served += 1,
                Some(Work::Read { root, reads_left }) => {
                    let reads_left = reads_left - 1;
                    self.arrive(now, Work::Read { root, reads_left });
                }
                Some(Work::Single { .. }) | None => {}
            }
        }
    }

    /// Returns the shares of single calls and of call trees that were served.
    fn run(mut self) -> (f64, f64) {
        for now in 0..RUN_MS {
            self.finish(now);
            let events = self.admission.expire(self.at(now));
            self.apply(now, events);
            if self.rng.random_bool(TREES_PER_SECOND / 1000.0) {
                let root = RootId::new(self.rng.random());
                self.arrive(
                    now,
                    Work::Read {
                        root,
                        reads_left: READS_PER_TREE,
                    },
                );
            }
            if self.rng.random_bool(SINGLES_PER_SECOND / 1000.0) {
                self.arrive(now, Work::Single { arrival: now });
            }
        }
        let secs = RUN_MS as f64 / 1000.0;
        let share = |count: u32, rate: f64| f64::from(count) / (rate * secs);
        (
            share(self.singles_served, SINGLES_PER_SECOND),
            share(self.trees_served, TREES_PER_SECOND),
        )
    }
}

#[tokio::test(start_paused = true)]
async fn arrive_serves_single_calls_before_trees() {
    let (plain, plain_trees) = World::new(false).run();
    let (marked, trees) = World::new(true).run();
    assert!(marked > 0.95, "{marked} of the single calls are served");
    assert!(plain < 0.8, "{plain} without their priority");
    // 25 singles a second take 1.2 of the 15 slots.
    assert!(
        trees > plain_trees - 0.08,
        "{trees} of trees, {plain_trees}"
    );
}

#[rstest]
#[case::most_trees_refused(0.85, 1.0)]
#[case::half_of_the_singles_refused(0.9375, 0.5)]
fn single_is_refused_after_most_trees(#[case] refused: f64, #[case] expected: f64) {
    let rank = ClassRank::new(RANK);
    let lowest_level = u32::from(Level::new(rank, 0).get());
    let threshold = Level::from_raw(lowest_level + (refused * Level::STEPS as f64) as u32);
    let roots = (0..1000).map(|n: u128| RootId::new(n * 7_919 + 1));
    let open = roots.filter(|root| Priority::for_single_call(rank, *root).level() >= threshold);
    let share = open.count() as f64 / 1000.0;
    assert!((share - expected).abs() < 0.06, "{share}");
}

#[test]
fn single_stays_below_the_next_class() {
    let root = RootId::new(u128::MAX);
    let single = Priority::for_single_call(ClassRank::new(2), root);
    let urgent = Priority::new(ClassRank::new(1), Depth::default(), RootId::new(1));
    assert!(single < urgent);
    assert!(single.level() < Level::new(ClassRank::new(1), 0));
}

/// Returns whether a table treats a class's own calls as single ones after 200 of
/// them, where `onward` returns which of them led to further calls.
fn learns_single_calls(onward: impl Fn(u32) -> bool) -> bool {
    let mut table = Table::new("dc-1".parse().expect("a name"));
    for call in 0..200 {
        table.record_own_call(ClassRank::new(RANK), onward(call));
    }
    table.is_single_call(ClassRank::new(RANK))
}

#[test]
fn is_single_call_follows_recent_answers() {
    let rank = ClassRank::new(RANK);
    let table = Table::new("dc-1".parse().expect("a name"));
    assert!(!table.is_single_call(rank), "nothing is known yet");
    assert!(learns_single_calls(|_| false));
    assert!(learns_single_calls(|call| call == 10), "one long ago");
    assert!(!learns_single_calls(|call| call % 4 == 0), "one in four");
    assert!(!learns_single_calls(|call| call >= 190), "the last ten");
}
