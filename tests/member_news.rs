//! Which members two daemons send each other, and which they leave out.
//!
//! An update of a member crosses every link between neighbours. If it were sent
//! back to the neighbour that it came from, it would cross each link at least
//! twice, and half of these links lead to other data centres. A record has about
//! 90 bytes and a daemon four neighbours, in an estate of hundreds.

#![allow(missing_docs)]

use bramleymount::model::Instance;
use bramleymount::policy::member::{ChangeCount, Incarnation, Member, MemberState, Page, View};
use tokio::time::Instant;

fn instance(number: usize) -> Instance {
    let text = format!("10.0.0.{number}:8000@1");
    text.parse().expect("an instance")
}

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        instance: instance(number),
        centre: "dc-a".parse().expect("a name"),
        service: "svc".parse().expect("a name"),
        incarnation: Incarnation(incarnation),
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

/// Returns all members changed after `since`, without a limit.
fn changed_since(view: &View, since: ChangeCount, known: &[Member]) -> Vec<Member> {
    let page = view.page(since, usize::MAX, known);
    assert_eq!(page.change, view.change());
    page.members
}

#[test]
fn page_omits_members_just_received() {
    let now = Instant::now();
    let (requester, mut responder) = (view(1, &[2, 3, 4]), view(2, &[3, 5]));
    let known: Vec<Member> = requester.members().cloned().collect();
    responder.merge_all(now, known.iter().cloned());
    let answer = changed_since(&responder, ChangeCount::default(), &known);
    // The requester sent 1 to 4, but not 5.
    assert_eq!(answer, [member(5, 1)]);
}

#[test]
fn page_contains_newer_records() {
    let now = Instant::now();
    let (requester, mut responder) = (view(1, &[2, 3]), view(2, &[1]));
    responder.merge_all(now, [member(3, 7)].into_iter());
    let known: Vec<Member> = requester.members().cloned().collect();
    responder.merge_all(now, known.iter().cloned());
    let answer = changed_since(&responder, ChangeCount::default(), &known);
    assert_eq!(answer, [member(3, 7)]);
}

#[test]
fn page_starts_after_a_change() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let at = view.change();
    view.merge_all(now, [member(2, 2), member(4, 1)].into_iter());
    assert_eq!(changed_since(&view, at, &[]), [member(2, 2), member(4, 1)]);
    assert_eq!(changed_since(&view, at, &[member(4, 1)]), [member(2, 2)]);
    assert!(changed_since(&view, ChangeCount(u64::MAX), &[]).is_empty());
}

/// A message contains a limited number of members; the next ones contain the rest.
#[test]
fn page_continues_where_the_last_one_ended() {
    let others: Vec<usize> = (2..100).collect();
    let view = view(1, &others);
    let mut received = Vec::new();
    let mut since = ChangeCount::default();
    while since < view.change() {
        let Page { members, change } = view.page(since, 10, &[]);
        assert!(members.len() <= 10);
        assert!(change > since);
        received.extend(members);
        since = change;
    }
    let mut all: Vec<Member> = view.members().cloned().collect();
    all.sort_by_key(|m| m.instance);
    received.sort_by_key(|m| m.instance);
    assert_eq!(received, all);
}

/// A member that changes repeatedly is sent once, in its latest state; the stored
/// changes do not grow with their number.
#[test]
fn page_after_many_changes_contains_each_member_once() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let at = view.change();
    for incarnation in 2..10_000 {
        view.merge(now, member(2, incarnation));
    }
    assert_eq!(changed_since(&view, at, &[]), [member(2, 9_999)]);
}

#[test]
fn merge_reply_is_not_sent_back_to_the_neighbour() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let sent = view.change();
    let known = view.merge_reply(now, [member(4, 1)].into_iter(), sent);
    assert_eq!(known, view.change());
    // Something else changed between the request and the reply.
    view.merge_all(now, [member(5, 1)].into_iter());
    let known = view.merge_reply(now, [member(6, 1)].into_iter(), sent);
    assert_eq!(known, sent);
}
