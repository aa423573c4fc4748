//! For whom daemons use the platform's store.
//!
//! The load answered here: a thousand daemons that start at once and run for
//! days, on a store that is paid by the call and takes some thousands a second.
//! What callers need of it is a version of the configuration in force within
//! seconds, which neighbours pass on; so as many calls are made at 1,000 members
//! of a data centre as at 10.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::policy::member::{
    Incarnation, Member, MemberState, RoleTracker, StoreRole, View, is_delegate, neighbours,
    read_probability,
};
use rstest::rstest;
use tokio::time::Instant;

/// Daemons that act for their data centre, by what the page on capacity states.
const DELEGATES: usize = 4;

fn member(number: usize, centre: &str) -> Member {
    let address = format!("10.{}.{}.1:8300@1", number / 250, number % 250);
    Member {
        instance: address.parse().expect("an instance"),
        centre: centre.parse().expect("a name"),
        service: "svc".parse().expect("a name"),
        incarnation: Incarnation(1),
        state: MemberState::Serving,
        slots: None,
    }
}

/// Returns the view of the member `own` of an estate of `members` in `centres`
/// data centres.
fn view(own: usize, members: usize, centres: usize) -> View {
    let now = Instant::now();
    let of = |number: usize| member(number, &format!("dc-{}", number % centres));
    let mut view = View::new(now, of(own));
    view.merge_all(now, (0..members).map(of));
    view
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[rstest]
#[case::ten(10)]
#[case::hundred(100)]
#[case::thousand(1000)]
fn is_delegate_for_as_many_whatever_the_size(#[case] members: usize) {
    let all = (0..members).filter(|own| is_delegate(&view(*own, members, 1)));
    assert_eq!(all.count(), DELEGATES);
}

#[test]
fn is_delegate_in_each_data_centre() {
    let all: Vec<usize> = (0..100)
        .filter(|own| is_delegate(&view(*own, 100, 5)))
        .collect();
    for centre in 0..5 {
        let here = all.iter().filter(|own| *own % 5 == centre);
        assert_eq!(here.count(), DELEGATES, "data centre {centre}");
    }
}

#[test]
fn is_delegate_passes_to_another_when_one_falls_silent() {
    let now = Instant::now();
    let is = |own: usize, silent: Option<usize>| {
        let mut view = view(own, 50, 1);
        if let Some(silent) = silent {
            view.mark_silent(now, member(silent, "dc-0").instance);
        }
        is_delegate(&view)
    };
    let first = (0..50).find(|own| is(*own, None)).expect("a delegate");
    let others = (0..50).filter(|own| *own != first && is(*own, Some(first)));
    assert_eq!(others.count(), DELEGATES);
}

#[rstest]
#[case::small(13)]
#[case::large(1000)]
fn read_chance_lets_as_many_read_at_a_time(#[case] members: usize) {
    let readers: f64 = (0..members)
        .map(|own| read_probability(&view(own, members, 1)))
        .sum();
    assert!(
        (readers - DELEGATES as f64).abs() < 1e-6,
        "{readers} readers"
    );
}

#[test]
fn decide_of_a_daemon_that_nobody_answers_asks_for_itself_after_its_patience() {
    let start = Instant::now();
    let mut term = RoleTracker::new(start, ms(300));
    assert_eq!(term.decide(start + ms(250), true), StoreRole::None);
    assert_eq!(term.decide(start + ms(300), true), StoreRole::Isolated);
}

#[test]
fn decide_of_a_daemon_that_is_answered_leaves_the_store_to_others() {
    let start = Instant::now();
    let mut term = RoleTracker::new(start, ms(300));
    term.record_answer(start + ms(20));
    for at in (250..3000).step_by(250) {
        term.record_answer(start + ms(at));
        assert_eq!(term.decide(start + ms(at), false), StoreRole::None);
    }
}

/// In a start of all views fill up: many come first for a moment.
#[test]
fn decide_waits_until_its_place_has_settled() {
    let start = Instant::now();
    let mut term = RoleTracker::new(start, ms(300));
    term.record_answer(start);
    assert_eq!(term.decide(start, true), StoreRole::None);
    assert_eq!(term.decide(start + ms(500), false), StoreRole::None);
    term.record_answer(start + ms(750));
    assert_eq!(term.decide(start + ms(750), true), StoreRole::None);
    term.record_answer(start + ms(1750));
    assert_eq!(term.decide(start + ms(1750), true), StoreRole::Delegate);
}

#[test]
fn decide_goes_on_until_the_next_one_has_settled() {
    let start = Instant::now();
    let mut term = RoleTracker::new(start, ms(0));
    let mut at = |after: u64, first: bool| {
        term.record_answer(start + ms(after));
        term.decide(start + ms(after), first)
    };
    at(0, true);
    assert_eq!(at(1000, true), StoreRole::Delegate);
    assert_eq!(at(3750, false), StoreRole::Delegate);
    assert_eq!(at(4250, false), StoreRole::None);
}

/// A daemon that is cut off from all others and not from the store.
#[test]
fn decide_of_a_daemon_that_is_cut_off_asks_for_itself() {
    let start = Instant::now();
    let mut term = RoleTracker::new(start, ms(300));
    term.record_answer(start);
    assert_eq!(term.decide(start + ms(1500), false), StoreRole::None);
    assert_eq!(term.decide(start + ms(1750), false), StoreRole::Isolated);
    term.record_answer(start + ms(4000));
    assert_eq!(term.decide(start + ms(4000), false), StoreRole::None);
}

/// News that one member has reaches all others, over links whose number doesn't
/// grow with the estate, in few steps.
#[rstest]
#[case::thirty(30, 3, 8)]
#[case::thousand(1000, 5, 16)]
fn neighbours_reach_all_in_few_steps(
    #[case] members: usize,
    #[case] centres: usize,
    #[case] most: usize,
) {
    let number_of: std::collections::HashMap<_, usize> = (0..members)
        .map(|number| (member(number, "dc-0").instance.address, number))
        .collect();
    let mut links = vec![Vec::new(); members];
    for own in 0..members {
        let found = neighbours(&view(own, members, centres));
        assert!(found.all().count() <= 4);
        for other in found.all() {
            let other = number_of[&other.address];
            links[own].push(other);
            links[other].push(own);
        }
    }
    let mut steps = vec![usize::MAX; members];
    steps[0] = 0;
    let mut next = std::collections::VecDeque::from([0]);
    while let Some(at) = next.pop_front() {
        for other in &links[at] {
            if steps[*other] == usize::MAX {
                steps[*other] = steps[at] + 1;
                next.push_back(*other);
            }
        }
    }
    let last = steps.iter().max().expect("members");
    assert!(*last <= most, "{last} steps");
}
