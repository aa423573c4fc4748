//! What two daemons tell each other of members, and what they need not.
//!
//! The load answered here: a member that comes, leaves or is lost, in an estate
//! of hundreds. News of it goes over each link between neighbours; told back to
//! whom it came from, it goes there twice and more, half of it between data
//! centres. The grounds for the figures: an entry has some 90 bytes, a daemon four
//! neighbours.

#![allow(missing_docs)]

use bramleymount::model::Instance;
use bramleymount::policy::member::{ChangeCount, Incarnation, Member, MemberState, Page, View};
use tokio::time::Instant;

fn instance(number: usize) -> Instance {
    let text = format!("10.0.0.{number}:8000@1");
    text.parse().expect("an instance")
}

fn member(number: usize, beat: u64) -> Member {
    Member {
        instance: instance(number),
        centre: "dc-a".parse().expect("a name"),
        service: "svc".parse().expect("a name"),
        incarnation: Incarnation(beat),
        state: MemberState::Serving,
        slots: None,
    }
}

fn view(own: usize, others: &[usize]) -> View {
    let now = Instant::now();
    let mut view = View::new(now, member(own, 1));
    view.merge_all(now, others.iter().map(|number| member(*number, 1)));
    view
}

/// Tells all that changed since, without a bound.
fn told_since(view: &View, since: ChangeCount, told: &[Member]) -> Vec<Member> {
    let page = view.page(since, usize::MAX, told);
    assert_eq!(page.change, view.change());
    page.members
}

#[test]
fn page_leaves_out_what_was_just_told() {
    let now = Instant::now();
    let (asker, mut asked) = (view(1, &[2, 3, 4]), view(2, &[3, 5]));
    let told: Vec<Member> = asker.members().cloned().collect();
    asked.merge_all(now, told.iter().cloned());
    let answer = told_since(&asked, ChangeCount::default(), &told);
    // 2 itself and 3 and 4 were told; 5 was not.
    assert_eq!(answer, [member(5, 1)]);
}

#[test]
fn page_tells_what_is_newer_here() {
    let now = Instant::now();
    let (asker, mut asked) = (view(1, &[2, 3]), view(2, &[1]));
    asked.merge_all(now, [member(3, 7)].into_iter());
    let told: Vec<Member> = asker.members().cloned().collect();
    asked.merge_all(now, told.iter().cloned());
    let answer = told_since(&asked, ChangeCount::default(), &told);
    assert_eq!(answer, [member(3, 7)]);
}

#[test]
fn page_counts_from_a_change() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let at = view.change();
    view.merge_all(now, [member(2, 2), member(4, 1)].into_iter());
    assert_eq!(told_since(&view, at, &[]), [member(2, 2), member(4, 1)]);
    assert_eq!(told_since(&view, at, &[member(4, 1)]), [member(2, 2)]);
    assert!(told_since(&view, ChangeCount(u64::MAX), &[]).is_empty());
}

/// However much there is to tell, a message holds only so much of it, and those
/// that follow the rest.
#[test]
fn page_goes_on_where_the_last_one_ended() {
    let others: Vec<usize> = (2..100).collect();
    let view = view(1, &others);
    let mut told = Vec::new();
    let mut since = ChangeCount::default();
    while since < view.change() {
        let Page { members, change } = view.page(since, 10, &[]);
        assert!(members.len() <= 10);
        assert!(change > since);
        told.extend(members);
        since = change;
    }
    let mut all: Vec<Member> = view.members().cloned().collect();
    all.sort_by_key(|m| m.instance);
    told.sort_by_key(|m| m.instance);
    assert_eq!(told, all);
}

/// A member that changes again and again is told once, in its latest state; how
/// much is kept of changes does not grow with their number.
#[test]
fn page_after_many_changes_tells_each_member_once() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let at = view.change();
    for beat in 2..10_000 {
        view.merge(now, member(2, beat));
    }
    assert_eq!(told_since(&view, at, &[]), [member(2, 9_999)]);
}

#[test]
fn merge_all_from_a_neighbour_is_no_news_for_it() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let sent = view.change();
    let told = view.merge_reply(now, [member(4, 1)].into_iter(), sent);
    assert_eq!(told, view.change());
    // Something else changed between what was sent and the answer.
    view.merge_all(now, [member(5, 1)].into_iter());
    let told = view.merge_reply(now, [member(6, 1)].into_iter(), sent);
    assert_eq!(told, sent);
}
