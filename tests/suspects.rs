//! Who is held for crashes of backend servers, and who is not.
//!
//! The load answered here: one request crashes each server that runs it and
//! comes again at once, anywhere, beside some fifty others that are under way at
//! each crash and come again too. The grounds for the figures: operators allow
//! three crashes; callers come again within a second, servers after some.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{CrashId, Fingerprint};
use bramleymount::policy::crash::{Standing, Suspect, Suspects};
use bramleymount::policy::member::ChangeCount;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const DEADLY: u128 = 1;
const OTHER: u128 = 2;
const TILL: u64 = 7;
const DESK: u64 = 8;

fn request(asked: u128) -> Fingerprint {
    Fingerprint {
        asked,
        caller: TILL,
    }
}

fn by(asked: u128, caller: u64) -> Fingerprint {
    Fingerprint { asked, caller }
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn crash(number: u64) -> CrashId {
    CrashId::new(number)
}

/// Notes that all of `asked` were under way at a crash.
fn crash_under(suspects: &mut Suspects, now: Instant, number: u64, asked: &[u128]) {
    for asked in asked {
        suspects.crashed(now, request(*asked), crash(number));
    }
}

#[rstest]
#[case::none(0, Standing::Clear)]
#[case::one(1, Standing::Few)]
#[case::two(2, Standing::Alone)]
#[case::three(3, Standing::Held(secs(600)))]
#[case::four(4, Standing::Held(secs(600)))]
fn standing_by_crashes(#[case] crashes: u64, #[case] standing: Standing) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        crash_under(&mut suspects, now, number, &[DEADLY]);
    }
    assert_eq!(suspects.standing(now, request(DEADLY)), standing);
    assert_eq!(suspects.standing(now, request(OTHER)), Standing::Clear);
}

#[test]
fn crashed_twice_by_one_crash_counts_once() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for _ in 0..5 {
        crash_under(&mut suspects, now, 1, &[DEADLY]);
    }
    assert_eq!(suspects.standing(now, request(DEADLY)), Standing::Few);
}

#[test]
fn answered_request_is_clear_and_stays_so() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    crash_under(&mut suspects, now, 1, &[OTHER]);
    crash_under(&mut suspects, now, 2, &[OTHER]);
    assert!(suspects.answered(now, request(OTHER)));
    for number in 3..9 {
        crash_under(&mut suspects, now, number, &[OTHER]);
        assert_eq!(suspects.standing(now, request(OTHER)), Standing::Clear);
    }
}

#[test]
fn request_beside_the_deadly_one_each_time_runs_alone_until_it_is_answered() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        crash_under(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    assert_eq!(suspects.standing(now, request(DEADLY)), Standing::Alone);
    assert_eq!(suspects.standing(now, request(OTHER)), Standing::Alone);
    suspects.answered(now, request(OTHER));
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, request(DEADLY)), held);
    assert_eq!(suspects.standing(now, request(OTHER)), Standing::Clear);
}

#[test]
fn request_that_crashes_one_more_server_alone_is_the_cause() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        crash_under(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    crash_under(&mut suspects, now, 4, &[DEADLY]);
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, request(DEADLY)), held);
    assert_eq!(suspects.standing(now, request(OTHER)), Standing::Alone);
}

#[test]
fn request_that_is_at_all_crashes_with_another_is_held_in_the_end() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=6 {
        crash_under(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, request(DEADLY)), held);
}

#[test]
fn deadly_request_from_anywhere_is_held_for_all() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for (number, caller) in [(1, 10), (2, 11), (3, 12)] {
        suspects.crashed(now, by(DEADLY, caller), crash(number));
    }
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, by(DEADLY, 13)), held);
}

#[test]
fn deadly_request_of_one_caller_is_held_for_that_one() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.crashed(now, by(DEADLY, TILL), crash(number));
    }
    suspects.crashed(now, by(DEADLY, DESK), crash(2));
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, by(DEADLY, TILL)), held);
    assert_eq!(suspects.standing(now, by(DEADLY, DESK)), Standing::Alone);
    suspects.answered(now, by(DEADLY, DESK));
    assert_eq!(suspects.standing(now, by(DEADLY, DESK)), Standing::Clear);
    assert_eq!(suspects.standing(now, by(DEADLY, TILL)), held);
}

/// Two callers whose requests for the same are under way at all crashes, of which
/// one ends each server and the other none: which is which shows when they run
/// alone.
#[test]
fn deadly_request_of_one_of_two_callers_is_held_for_that_one() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.crashed(now, by(DEADLY, TILL), crash(number));
        suspects.crashed(now, by(DEADLY, DESK), crash(number));
    }
    assert_eq!(suspects.standing(now, by(DEADLY, TILL)), Standing::Alone);
    assert_eq!(suspects.standing(now, by(DEADLY, DESK)), Standing::Alone);
    suspects.crashed(now, by(DEADLY, TILL), crash(4));
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(now, by(DEADLY, TILL)), held);
    assert_eq!(suspects.standing(now, by(DEADLY, DESK)), Standing::Alone);
}

/// The same where the request of either ends servers.
#[test]
fn deadly_request_of_two_callers_is_held_for_all_once_both_ran_alone() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.crashed(now, by(DEADLY, TILL), crash(number));
        suspects.crashed(now, by(DEADLY, DESK), crash(number));
    }
    suspects.crashed(now, by(DEADLY, TILL), crash(4));
    suspects.crashed(now, by(DEADLY, DESK), crash(5));
    let held = Standing::Held(secs(600));
    for caller in [TILL, DESK, 9] {
        assert_eq!(suspects.standing(now, by(DEADLY, caller)), held);
    }
}

#[rstest]
#[case::suspect_kept(1, 59, Standing::Few)]
#[case::suspect_forgotten(1, 60, Standing::Clear)]
#[case::held_kept(3, 599, Standing::Held(secs(1)))]
#[case::held_gets_one_run(3, 600, Standing::Alone)]
#[case::held_forgotten(3, 1200, Standing::Clear)]
fn standing_expires(#[case] crashes: u64, #[case] after: u64, #[case] standing: Standing) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        crash_under(&mut suspects, now, number, &[DEADLY]);
    }
    let later = now + secs(after);
    assert_eq!(suspects.standing(later, request(DEADLY)), standing);
    suspects.forget(later);
    assert_eq!(suspects.is_empty(), standing == Standing::Clear);
}

#[test]
fn held_request_that_crashes_again_after_its_time_is_held_again() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        crash_under(&mut suspects, now, number, &[DEADLY]);
    }
    let later = now + secs(700);
    crash_under(&mut suspects, later, 4, &[DEADLY]);
    let held = Standing::Held(secs(600));
    assert_eq!(suspects.standing(later, request(DEADLY)), held);
}

#[test]
fn suspects_are_bounded_and_the_gravest_stay() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        crash_under(&mut suspects, now, number, &[DEADLY]);
    }
    for asked in 0..10_000 {
        let later = now + Duration::from_millis(1);
        suspects.crashed(later, request(1000 + asked), crash(99));
    }
    assert_eq!(suspects.len(), 2048);
    let standing = suspects.standing(now, request(DEADLY));
    assert!(matches!(standing, Standing::Held(_)), "{standing:?}");
}

#[test]
fn merge_from_three_daemons_adds_up() {
    let now = Instant::now();
    let mut all = Suspects::default();
    for number in 0..3 {
        let mut one = Suspects::default();
        crash_under(&mut one, now, number, &[DEADLY, 100 + u128::from(number)]);
        let (news, _) = one.changed(now, ChangeCount::default());
        for suspect in &news {
            assert!(all.merge(now, suspect));
            assert!(!all.merge(now, suspect), "told twice is no news");
        }
    }
    let held = Standing::Held(secs(600));
    assert_eq!(all.standing(now, request(DEADLY)), held);
    assert_eq!(all.standing(now, request(100)), Standing::Few);
}

#[test]
fn merge_of_an_answer_clears() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    crash_under(&mut here, now, 1, &[OTHER]);
    crash_under(&mut there, now, 1, &[OTHER]);
    there.answered(now, request(OTHER));
    let news = there.get(now, OTHER).expect("a suspect").clone();
    assert!(here.merge(now, &news));
    assert_eq!(here.standing(now, request(OTHER)), Standing::Clear);
    let old = Suspect {
        answered: [].into(),
        strikes: news.strikes.clone(),
        ..news
    };
    here.merge(now, &old);
    assert_eq!(here.standing(now, request(OTHER)), Standing::Clear);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Crash(u64, u64),
    Answer(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..20u64, 0..4u64).prop_map(|(crash, caller)| Event::Crash(crash, caller)),
        1 => (0..4u64).prop_map(Event::Answer),
    ]
}

proptest! {
    /// Whatever two daemons know, and whoever tells first, both end with the
    /// same, and stop telling.
    #[test]
    fn merge_ends_with_the_same(ours in prop::collection::vec(event(), 0..30),
                                theirs in prop::collection::vec(event(), 0..30)) {
        let now = Instant::now();
        let play = |events: &[Event]| {
            let mut suspects = Suspects::default();
            for event in events {
                match *event {
                    Event::Crash(number, caller) => {
                        suspects.crashed(now, by(DEADLY, caller), crash(number));
                    }
                    Event::Answer(caller) => {
                        suspects.answered(now, by(DEADLY, caller));
                    }
                }
            }
            suspects
        };
        let (mut one, mut other) = (play(&ours), play(&theirs));
        for _ in 0..2 {
            for news in one.changed(now, ChangeCount::default()).0 {
                other.merge(now, &news);
            }
            for news in other.changed(now, ChangeCount::default()).0 {
                one.merge(now, &news);
            }
        }
        prop_assert_eq!(one.get(now, DEADLY), other.get(now, DEADLY));
        for news in one.changed(now, ChangeCount::default()).0 {
            prop_assert!(!other.merge(now, &news));
        }
    }
}
