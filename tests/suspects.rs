//! Which requests are quarantined for crashes of backend servers.
//!
//! The tests guard against a request that crashes each server that runs it and is
//! repeated at once, at any server, beside some fifty others that are in flight at
//! each crash and are repeated too. Operators allow three crashes; callers repeat
//! requests within a second, servers restart after some.

#![allow(missing_docs)]

use std::collections::HashMap;
use std::time::Duration;

use bramleymount::model::{CrashId, Fingerprint};
use bramleymount::policy::crash::{RunRestriction, Suspect, Suspects};
use bramleymount::policy::member::ChangeCount;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const DEADLY: u128 = 1;
const OTHER: u128 = 2;
const CALLER_A: u64 = 7;
const CALLER_B: u64 = 8;

fn request(asked: u128) -> Fingerprint {
    Fingerprint {
        digest: asked,
        caller: CALLER_A,
    }
}

fn request_by(asked: u128, caller: u64) -> Fingerprint {
    Fingerprint {
        digest: asked,
        caller,
    }
}

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn crash(number: u64) -> CrashId {
    CrashId::new(number)
}

/// Records that the requests with these digests were in flight at a crash.
fn record_crashes(suspects: &mut Suspects, now: Instant, number: u64, digests: &[u128]) {
    for digest in digests {
        suspects.record_crash(now, request(*digest), crash(number));
    }
}

#[rstest]
#[case::none(0, RunRestriction::Unrestricted)]
#[case::one(1, RunRestriction::FewAtOnce)]
#[case::two(2, RunRestriction::OneAtOnce)]
#[case::three(3, RunRestriction::Quarantined(secs(600)))]
#[case::four(4, RunRestriction::Quarantined(secs(600)))]
fn restriction_by_crashes(#[case] crashes: u64, #[case] restriction: RunRestriction) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        record_crashes(&mut suspects, now, number, &[DEADLY]);
    }
    assert_eq!(suspects.restriction(now, request(DEADLY)), restriction);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
}

#[test]
fn record_crash_counts_each_crash_once() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for _ in 0..5 {
        record_crashes(&mut suspects, now, 1, &[DEADLY]);
    }
    assert_eq!(
        suspects.restriction(now, request(DEADLY)),
        RunRestriction::FewAtOnce
    );
}

#[test]
fn answered_request_stays_unrestricted() {
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
fn request_beside_the_deadly_one_runs_alone_until_answered() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        record_crashes(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    assert_eq!(
        suspects.restriction(now, request(DEADLY)),
        RunRestriction::OneAtOnce
    );
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::OneAtOnce
    );
    suspects.record_answer(now, request(OTHER));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(DEADLY)), quarantined);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::Unrestricted
    );
}

#[test]
fn request_that_crashes_another_server_alone_is_the_cause() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        record_crashes(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    record_crashes(&mut suspects, now, 4, &[DEADLY]);
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(DEADLY)), quarantined);
    assert_eq!(
        suspects.restriction(now, request(OTHER)),
        RunRestriction::OneAtOnce
    );
}

#[test]
fn request_at_all_crashes_with_another_is_quarantined_after_six() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=6 {
        record_crashes(&mut suspects, now, number, &[DEADLY, OTHER]);
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(now, request(DEADLY)), quarantined);
}

#[test]
fn deadly_request_of_many_callers_is_quarantined_for_all() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for (number, caller) in [(1, 10), (2, 11), (3, 12)] {
        suspects.record_crash(now, request_by(DEADLY, caller), crash(number));
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, 13)),
        quarantined
    );
}

#[test]
fn deadly_request_of_one_caller_is_quarantined_for_it() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(number));
    }
    suspects.record_crash(now, request_by(DEADLY, CALLER_B), crash(2));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_A)),
        quarantined
    );
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_B)),
        RunRestriction::OneAtOnce
    );
    suspects.record_answer(now, request_by(DEADLY, CALLER_B));
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_B)),
        RunRestriction::Unrestricted
    );
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_A)),
        quarantined
    );
}

/// The same request of two callers is in flight at all crashes, but only that of
/// one caller crashes servers, which shows when each runs alone.
#[test]
fn deadly_request_of_one_of_two_callers_is_quarantined_for_it() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(number));
        suspects.record_crash(now, request_by(DEADLY, CALLER_B), crash(number));
    }
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_A)),
        RunRestriction::OneAtOnce
    );
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_B)),
        RunRestriction::OneAtOnce
    );
    suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(4));
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_A)),
        quarantined
    );
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_B)),
        RunRestriction::OneAtOnce
    );
}

/// As before, but the request crashes servers for either caller.
#[test]
fn deadly_request_of_two_callers_is_quarantined_once_both_ran_alone() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=3 {
        suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(number));
        suspects.record_crash(now, request_by(DEADLY, CALLER_B), crash(number));
    }
    suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(4));
    suspects.record_crash(now, request_by(DEADLY, CALLER_B), crash(5));
    let quarantined = RunRestriction::Quarantined(secs(600));
    for caller in [CALLER_A, CALLER_B, 9] {
        assert_eq!(
            suspects.restriction(now, request_by(DEADLY, caller)),
            quarantined
        );
    }
}

#[rstest]
#[case::suspect_kept(1, 59, RunRestriction::FewAtOnce)]
#[case::suspect_forgotten(1, 60, RunRestriction::Unrestricted)]
#[case::quarantine_kept(3, 599, RunRestriction::Quarantined(secs(1)))]
#[case::quarantined_gets_one_run(3, 600, RunRestriction::OneAtOnce)]
#[case::quarantine_forgotten(3, 1200, RunRestriction::Unrestricted)]
fn restriction_expires(
    #[case] crashes: u64,
    #[case] after: u64,
    #[case] restriction: RunRestriction,
) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..crashes {
        record_crashes(&mut suspects, now, number, &[DEADLY]);
    }
    let later = now + secs(after);
    assert_eq!(suspects.restriction(later, request(DEADLY)), restriction);
    suspects.remove_expired(later);
    assert_eq!(
        suspects.is_empty(),
        restriction == RunRestriction::Unrestricted
    );
}

#[test]
fn request_that_crashes_after_its_quarantine_is_quarantined_again() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        record_crashes(&mut suspects, now, number, &[DEADLY]);
    }
    let later = now + secs(700);
    record_crashes(&mut suspects, later, 4, &[DEADLY]);
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(suspects.restriction(later, request(DEADLY)), quarantined);
}

#[test]
fn suspects_are_limited_and_those_with_most_crashes_stay() {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 0..3 {
        record_crashes(&mut suspects, now, number, &[DEADLY]);
    }
    for digest in 0..10_000 {
        let later = now + Duration::from_millis(1);
        suspects.record_crash(later, request(1000 + digest), crash(99));
    }
    assert_eq!(suspects.len(), 2048);
    let restriction = suspects.restriction(now, request(DEADLY));
    assert!(
        matches!(restriction, RunRestriction::Quarantined(_)),
        "{restriction:?}"
    );
}

/// Guards against a crash of which only some callers are kept: without the caller
/// whose request caused it, the others are quarantined for ten minutes.
#[rstest]
#[case::many_callers(7, 3)]
#[case::many_crashes(2, 14)]
fn record_crash_keeps_all_callers_of_a_crash(#[case] callers: u64, #[case] crashes: u64) {
    let (now, mut suspects) = (Instant::now(), Suspects::default());
    for number in 1..=crashes {
        suspects.record_crash(now, request_by(DEADLY, CALLER_A), crash(number));
        if number > 2 && number < 6 || number == 1 {
            for other in 1..callers {
                suspects.record_crash(now, request_by(DEADLY, CALLER_A + other), crash(number));
            }
        }
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(
        suspects.restriction(now, request_by(DEADLY, CALLER_A)),
        quarantined
    );
    for other in 1..callers {
        assert_eq!(
            suspects.restriction(now, request_by(DEADLY, CALLER_A + other)),
            RunRestriction::OneAtOnce,
            "caller {other}"
        );
    }
}

#[test]
fn merge_from_three_daemons_adds_up() {
    let now = Instant::now();
    let mut all = Suspects::default();
    for number in 0..3 {
        let mut one = Suspects::default();
        record_crashes(&mut one, now, number, &[DEADLY, 100 + u128::from(number)]);
        let (update, _) = one.changes_since(now, ChangeCount::default());
        for suspect in &update {
            assert!(all.merge(now, suspect));
            assert!(!all.merge(now, suspect), "merged twice");
        }
    }
    let quarantined = RunRestriction::Quarantined(secs(600));
    assert_eq!(all.restriction(now, request(DEADLY)), quarantined);
    assert_eq!(
        all.restriction(now, request(100)),
        RunRestriction::FewAtOnce
    );
}

#[test]
fn merge_of_an_answer_lifts_the_restriction() {
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
    /// Whatever two daemons know and whichever sends first, both end up with the
    /// same state and have no further updates.
    #[test]
    fn merge_converges(ours in prop::collection::vec(event(), 0..30),
                                theirs in prop::collection::vec(event(), 0..30)) {
        let now = Instant::now();
        let apply = |events: &[Event]| {
            let mut suspects = Suspects::default();
            for event in events {
                match *event {
                    Event::Crash(number, caller) => {
                        suspects.record_crash(now, request_by(DEADLY, caller), crash(number));
                    }
                    Event::Answer(caller) => {
                        suspects.record_answer(now, request_by(DEADLY, caller));
                    }
                }
            }
            suspects
        };
        let (mut one, mut other) = (apply(&ours), apply(&theirs));
        for _ in 0..2 {
            for update in one.changes_since(now, ChangeCount::default()).0 {
                other.merge(now, &update);
            }
            for update in other.changes_since(now, ChangeCount::default()).0 {
                one.merge(now, &update);
            }
        }
        prop_assert_eq!(one.get(now, DEADLY), other.get(now, DEADLY));
        for update in one.changes_since(now, ChangeCount::default()).0 {
            prop_assert!(!other.merge(now, &update));
        }
    }
}

/// A harmless request or caller in flight at a crash beside the deadly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Caller(u64),
    Request(u128),
}

impl Beside {
    fn fingerprint(self) -> Fingerprint {
        match self {
            Self::Caller(caller) => request_by(DEADLY, caller),
            Self::Request(digest) => request(digest),
        }
    }
}

/// One crash at a drawn server, and the updates sent after it.
#[derive(Clone, Debug)]
struct CrashEvent {
    server: usize,
    beside: Vec<Beside>,
    /// Pairs of daemons of which the first sends its updates to the second.
    updates: Vec<(usize, usize)>,
}

const SERVERS: usize = 3;
/// The entries of the deadly caller and of the others.
const DEADLY_ENTRY: usize = 3;
const OTHER_ENTRY: usize = 4;
const DAEMONS: usize = 5;
/// Most crashes at which a harmless request is in flight beside the deadly one.
const MAX_BESIDE: usize = 5;

fn crash_event() -> impl Strategy<Value = CrashEvent> {
    let beside = prop_oneof![
        (CALLER_B..CALLER_B + 4).prop_map(Beside::Caller),
        (10u128..14).prop_map(Beside::Request),
    ];
    let beside = prop::collection::vec(beside, 0..5);
    let updates = prop::collection::vec((0..DAEMONS, 0..DAEMONS), 0..4);
    (0..SERVERS, beside, updates).prop_map(|(server, beside, updates)| CrashEvent {
        server,
        beside,
        updates,
    })
}

fn merge_all(from: &Suspects, to: &mut Suspects, now: Instant) {
    for update in from.changes_since(now, ChangeCount::default()).0 {
        to.merge(now, &update);
    }
}

proptest! {
    /// Guards against daemons that know a crash in part: whatever the order of
    /// crashes and updates, no request but the deadly one is quarantined anywhere,
    /// not even for a moment. Each call brings what its entry knows to the guard,
    /// and each refusal what the guard knows to the entry. No other request is in
    /// flight at all crashes, nor at six, by which it has run alone
    /// (`request_at_all_crashes_with_another_is_quarantined_after_six`).
    #[test]
    fn evidence_in_any_order_spares_the_harmless(
        events in prop::collection::vec(crash_event(), 3..9),
        alone_at in 0usize..3,
    ) {
        let now = Instant::now();
        let deadly = request_by(DEADLY, CALLER_A);
        let mut in_flight_counts: HashMap<Fingerprint, usize> = HashMap::new();
        let mut daemons: Vec<Suspects> = (0..DAEMONS).map(|_| Suspects::default()).collect();
        for (index, event) in events.iter().enumerate() {
            let mut calls: Vec<(usize, Fingerprint)> = vec![(DEADLY_ENTRY, deadly)];
            for beside in event.beside.iter().filter(|_| index != alone_at) {
                let call = beside.fingerprint();
                let count = in_flight_counts.entry(call).or_insert(0);
                if *count < MAX_BESIDE && !calls.contains(&(OTHER_ENTRY, call)) {
                    *count += 1;
                    calls.push((OTHER_ENTRY, call));
                }
            }
            for (entry, call) in &calls {
                if let Some(known) = daemons[*entry].get(now, call.digest).cloned() {
                    daemons[event.server].merge(now, &known);
                }
            }
            let in_flight: Vec<Fingerprint> = calls.iter().map(|(_, call)| *call).collect();
            let crash = crash(1 + index as u64);
            daemons[event.server].record_crash_of_all(now, &in_flight, crash);
            for (entry, call) in &calls {
                for known in daemons[event.server].evidence(now, call.digest) {
                    daemons[*entry].merge(now, &known);
                }
                daemons[*entry].record_crash(now, *call, crash);
            }
            for (from, to) in &event.updates {
                let sender = daemons[*from].changes_since(now, ChangeCount::default()).0;
                for update in sender {
                    daemons[*to].merge(now, &update);
                }
            }
            for (daemon, suspects) in daemons.iter().enumerate() {
                for (_, call) in calls.iter().filter(|(_, call)| *call != deadly) {
                    let restriction = suspects.restriction(now, *call);
                    prop_assert!(
                        !matches!(restriction, RunRestriction::Quarantined(_)),
                        "crash {index}: daemon {daemon} quarantines {call}"
                    );
                }
            }
        }
        let (last, others) = daemons.split_last_mut().expect("daemons");
        others.iter().for_each(|daemon| merge_all(daemon, last, now));
        let restriction = last.restriction(now, deadly);
        prop_assert!(matches!(restriction, RunRestriction::Quarantined(_)), "{restriction:?}");
    }
}
