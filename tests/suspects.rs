//! Who is held for crashes of backend servers, and who is not.
//!
//! The load answered here: one request crashes each server that runs it and
//! comes again at once, anywhere, beside some fifty others that are under way at
//! each crash and come again too. The grounds for the figures: operators allow
//! three crashes; callers come again within a second, servers after some.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{CrashId, Fingerprint};
use bramleymount::policy::crash::{RunRestriction, Suspect, Suspects};
use bramleymount::policy::member::ChangeCount;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const CRASHING: u128 = 1;
const OTHER: u128 = 2;
const CALLER_A: u64 = 7;
const CALLER_B: u64 = 8;

fn request(asked: u128) -> Fingerprint {
    Fingerprint {
        asked,
        caller: CALLER_A,
    }
}

fn request_by(asked: u128, caller: u64) -> Fingerprint {
    Fingerprint { asked, caller }
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn crash(number: u64) -> CrashId {
    CrashId::new(number)
}

/// Notes that all of `asked` were under way at a crash.
fn record_crashes(suspects: &mut Suspects, now: Instant, number: u64, asked: &[u128]) {
    for asked in asked {
        suspects.record_crash(now, request(*asked), crash(number));
    }
}

#[rstest]
#[case::none(0, RunRestriction::Unrestricted)]
#[case::one(1, RunRestriction::FewAtOnce)]
#[case::two(2, RunRestriction::OneAtOnce)]
#[case::three(3, RunRestriction::Quarantined(secs(600)))]
#[case::four(4, RunRestriction::Quarantined(secs(600)))]
fn standing_by_crashes(#[case] crashes: u64, #[case] restriction: RunRestriction) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        record_crashes(&mut suspects, now, number, &[CRASHING]);
    }
    assert_eq!(suspects.restriction(now, request(CRASHING)), restriction);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
}

#[test]
fn crashed_twice_by_one_crash_counts_once() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for _ in 0..5 {
        record_crashes(&mut suspects, now, 1, &[CRASHING]);
    }
    assert_eq!(
        suspects.restriction(now, request(CRASHING)),
        RunRestriction::FewAtOnce
    );
}

#[test]
fn answered_request_is_clear_and_stays_so() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    record_crashes(&mut suspects, now, 1, &[OTHER]);
    record_crashes(&mut suspects, now, 2, &[OTHER]);
    assert!(suspects.record_answer(now, request(OTHER)));
    for number in 3..9 {
        record_crashes(&mut suspects, now, number, &[OTHER]);
        assert_eq!(
            suspects.restriction(now, request(OTHER)),
            RunRestriction::Unrestricted
        );
    }
}

#[test]
fn request_beside_the_deadly_one_each_time_runs_alone_until_it_is_answered() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        record_crashes(&mut suspects, now, number, &[CRASHING, OTHER]);
    }
    assert_eq!(
        suspects.restriction(now, request(CRASHING)),
        RunRestriction::OneAtOnce
    );
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::OneAtOnce
    );
    suspects.record_answer(now, request(OTHER));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(CRASHING)), quarantined);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
}

#[test]
fn request_that_crashes_one_more_server_alone_is_the_cause() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        record_crashes(&mut suspects, now, number, &[CRASHING, OTHER]);
    }
    record_crashes(&mut suspects, now, 4, &[CRASHING]);
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(CRASHING)), quarantined);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::OneAtOnce
    );
}

#[test]
fn request_that_is_at_all_crashes_with_another_is_held_in_the_end() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=6 {
        record_crashes(&mut suspects, now, number, &[CRASHING, OTHER]);
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(CRASHING)), quarantined);
}

#[test]
fn deadly_request_from_anywhere_is_held_for_all() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for (number, caller) in [(1, 10), (2, 11), (3, 12)] {
        suspects.record_crash(now, request_by(CRASHING, caller), crash(number));
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, 13)),
        quarantined
    );
}

#[test]
fn deadly_request_of_one_caller_is_held_for_that_one() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(CRASHING, CALLER_A), crash(number));
    }
    suspects.record_crash(now, request_by(CRASHING, CALLER_B), crash(2));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_A)),
        quarantined
    );
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_B)),
        RunRestriction::OneAtOnce
    );
    suspects.record_answer(now, request_by(CRASHING, CALLER_B));
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_B)),
        RunRestriction::Unrestricted
    );
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_A)),
        quarantined
    );
}

/// Two callers whose requests for the same are under way at all crashes, of which
/// one ends each server and the other none: which is which shows when they run
/// alone.
#[test]
fn deadly_request_of_one_of_two_callers_is_held_for_that_one() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(CRASHING, CALLER_A), crash(number));
        suspects.record_crash(now, request_by(CRASHING, CALLER_B), crash(number));
    }
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_A)),
        RunRestriction::OneAtOnce
    );
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_B)),
        RunRestriction::OneAtOnce
    );
    suspects.record_crash(now, request_by(CRASHING, CALLER_A), crash(4));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_A)),
        quarantined
    );
    assert_eq!(
        suspects.restriction(now, request_by(CRASHING, CALLER_B)),
        RunRestriction::OneAtOnce
    );
}

/// The same where the request of either ends servers.
#[test]
fn deadly_request_of_two_callers_is_held_for_all_once_both_ran_alone() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(CRASHING, CALLER_A), crash(number));
        suspects.record_crash(now, request_by(CRASHING, CALLER_B), crash(number));
    }
    suspects.record_crash(now, request_by(CRASHING, CALLER_A), crash(4));
    suspects.record_crash(now, request_by(CRASHING, CALLER_B), crash(5));
    let quarantined = RunRestriction::Quarantined(secs(600));
    for caller in [CALLER_A, CALLER_B, 9] {
        assert_eq!(
            suspects.restriction(now, request_by(CRASHING, caller)),
            quarantined
        );
    }
}

#[rstest]
#[case::suspect_kept(1, 59, RunRestriction::FewAtOnce)]
#[case::suspect_forgotten(1, 60, RunRestriction::Unrestricted)]
#[case::held_kept(3, 599, RunRestriction::Quarantined(secs(1)))]
#[case::held_gets_one_run(3, 600, RunRestriction::OneAtOnce)]
#[case::held_forgotten(3, 1200, RunRestriction::Unrestricted)]
fn standing_expires(#[case] crashes: u64, #[case] after: u64, #[case] restriction: RunRestriction) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        record_crashes(&mut suspects, now, number, &[CRASHING]);
    }
    let later = now + secs(after);
    assert_eq!(suspects.restriction(later, request(CRASHING)), restriction);
    suspects.remove_expired(later);
    assert_eq!(
        suspects.is_empty(),
        restriction == RunRestriction::Unrestricted
    );
}

#[test]
fn held_request_that_crashes_again_after_its_time_is_held_again() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        record_crashes(&mut suspects, now, number, &[CRASHING]);
    }
    let later = now + secs(700);
    record_crashes(&mut suspects, later, 4, &[CRASHING]);
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(later, request(CRASHING)), quarantined);
}

#[test]
fn suspects_are_bounded_and_the_gravest_stay() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        record_crashes(&mut suspects, now, number, &[CRASHING]);
    }
    for asked in 0..10_000 {
        let later = now + Duration::from_millis(1);
        suspects.record_crash(later, request(1000 + asked), crash(99));
    }
    assert_eq!(suspects.len(), 2048);
    let restriction = suspects.restriction(now, request(CRASHING));
    assert!(
        matches!(restriction, RunRestriction::Quarantined(_)),
        "{restriction:?}"
    );
}

#[test]
fn merge_from_three_daemons_adds_up() {
    let now = Instant::now();
    let mut all = Suspects::default();
    for number in 0..3 {
        let mut one = Suspects::default();
        record_crashes(&mut one, now, number, &[CRASHING, 100 + u128::from(number)]);
        let (update, _) = one.changes_since(now, ChangeCount::default());
        for suspect in &update {
            assert!(all.merge(now, suspect));
            assert!(!all.merge(now, suspect), "told twice is no news");
        }
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(all.restriction(now, request(CRASHING)), quarantined);
    assert_eq!(
        all.restriction(now, request(100)),
        RunRestriction::FewAtOnce
    );
}

#[test]
fn merge_of_an_answer_clears() {
    let now = Instant::now();
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    record_crashes(&mut here, now, 1, &[OTHER]);
    record_crashes(&mut there, now, 1, &[OTHER]);
    there.record_answer(now, request(OTHER));
    let update = there.get(now, OTHER).expect("a suspect").clone();
    assert!(here.merge(now, &update));
    assert_eq!(
        here.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
    let old = Suspect {
        answered_callers: [].into(),
        records: update.records.clone(),
        ..update
    };
    here.merge(now, &old);
    assert_eq!(
        here.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
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
                        suspects.record_crash(now, request_by(CRASHING, caller), crash(number));
                    }
                    Event::Answer(caller) => {
                        suspects.record_answer(now, request_by(CRASHING, caller));
                    }
                }
            }
            suspects
        };
        let (mut one, mut other) = (play(&ours), play(&theirs));
        for _ in 0..2 {
            for update in one.changes_since(now, ChangeCount::default()).0 {
                other.merge(now, &update);
            }
            for update in other.changes_since(now, ChangeCount::default()).0 {
                one.merge(now, &update);
            }
        }
        prop_assert_eq!(one.get(now, CRASHING), other.get(now, CRASHING));
        for update in one.changes_since(now, ChangeCount::default()).0 {
            prop_assert!(!other.merge(now, &update));
        }
    }
}
