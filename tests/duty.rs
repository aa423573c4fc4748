//! The role of daemons at the platform's store.
//!
//! A thousand daemons may start at once on a store that is billed per call and
//! handles a few thousand calls per second. Callers only need a new version of
//! the configuration in force within seconds, which gossip passes on, so the
//! number of calls must be the same for 1,000 members of a data centre as for 10.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::policy::member::{
    Incarnation, Member, MemberState, RoleTracker, StoreRole, View, is_delegate, neighbours,
    read_probability,
};
use rstest::rstest;
use tokio::time::Instant;

/// Delegates per data centre, as stated on the page on capacity.
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

/// Returns the view of member `own` in an estate of `members` in `centres` data
/// centres.
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
fn is_delegate_for_the_same_number_at_any_size(#[case] members: usize) {
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
fn is_delegate_moves_to_another_when_one_is_silent() {
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
fn read_probability_gives_the_same_number_of_readers(#[case] members: usize) {
    let readers: f64 = (0..members)
        .map(|own| read_probability(&view(own, members, 1)))
        .sum();
    assert!(
        (readers - DELEGATES as f64).abs() < 1e-6,
        "{readers} readers"
    );
}

#[test]
fn decide_without_answers_is_isolated_after_its_patience() {
    let start = Instant::now();
    let mut tracker = RoleTracker::new(start, ms(300));
    assert_eq!(tracker.decide(start + ms(250), true), StoreRole::None);
    assert_eq!(tracker.decide(start + ms(300), true), StoreRole::Isolated);
}

#[test]
fn decide_with_answers_leaves_the_store_to_others() {
    let start = Instant::now();
    let mut tracker = RoleTracker::new(start, ms(300));
    tracker.record_answer(start + ms(20));
    for at in (250..3000).step_by(250) {
        tracker.record_answer(start + ms(at));
        assert_eq!(tracker.decide(start + ms(at), false), StoreRole::None);
    }
}

/// When all daemons start at once, many rank first briefly while views fill up.
#[test]
fn decide_waits_until_the_rank_has_settled() {
    let start = Instant::now();
    let mut tracker = RoleTracker::new(start, ms(300));
    tracker.record_answer(start);
    assert_eq!(tracker.decide(start, true), StoreRole::None);
    assert_eq!(tracker.decide(start + ms(500), false), StoreRole::None);
    tracker.record_answer(start + ms(750));
    assert_eq!(tracker.decide(start + ms(750), true), StoreRole::None);
    tracker.record_answer(start + ms(1750));
    assert_eq!(tracker.decide(start + ms(1750), true), StoreRole::Delegate);
}

#[test]
fn decide_remains_delegate_until_the_replacement_has_settled() {
    let start = Instant::now();
    let mut tracker = RoleTracker::new(start, ms(0));
    let mut at = |after: u64, first: bool| {
        tracker.record_answer(start + ms(after));
        tracker.decide(start + ms(after), first)
    };
    at(0, true);
    assert_eq!(at(1000, true), StoreRole::Delegate);
    assert_eq!(at(3750, false), StoreRole::Delegate);
    assert_eq!(at(4250, false), StoreRole::None);
}

/// A daemon that can reach the store but no other daemon.
#[test]
fn decide_is_isolated_when_answers_stop() {
    let start = Instant::now();
    let mut tracker = RoleTracker::new(start, ms(300));
    tracker.record_answer(start);
    assert_eq!(tracker.decide(start + ms(1500), false), StoreRole::None);
    assert_eq!(tracker.decide(start + ms(1750), false), StoreRole::Isolated);
    tracker.record_answer(start + ms(4000));
    assert_eq!(tracker.decide(start + ms(4000), false), StoreRole::None);
}

/// An update at one member reaches all others in few steps, with a number of
/// neighbours that does not grow with the estate.
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
