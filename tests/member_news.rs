//! What two daemons tell each other of members, and what they need not.
//!
//! The load answered here: a member that comes, leaves or is lost, in an estate
//! of hundreds. News of it goes over each link between neighbours; told back to
//! whom it came from, it goes there twice and more, half of it between data
//! centres. The grounds for the figures: an entry has some 90 bytes, a daemon four
//! neighbours.

#![allow(missing_docs)]

use bramleymount::model::Instance;
use bramleymount::policy::member::{Beat, Change, Member, MemberState, View};
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
        beat: Beat(beat),
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

#[test]
fn beyond_leaves_out_what_was_just_told() {
    let now = Instant::now();
    let (asker, mut asked) = (view(1, &[2, 3, 4]), view(2, &[3, 5]));
    let told: Vec<Member> = asker.members().cloned().collect();
    asked.merge_all(now, told.iter().cloned());
    let answer = asked.beyond(None, &told);
    // 2 itself and 3 and 4 were told; 5 was not.
    assert_eq!(answer, [member(5, 1)]);
}

#[test]
fn beyond_tells_what_is_newer_here() {
    let now = Instant::now();
    let (asker, mut asked) = (view(1, &[2, 3]), view(2, &[1]));
    asked.merge_all(now, [member(3, 7)].into_iter());
    let told: Vec<Member> = asker.members().cloned().collect();
    asked.merge_all(now, told.iter().cloned());
    assert_eq!(asked.beyond(None, &told), [member(3, 7)]);
}

#[test]
fn beyond_counts_from_a_change() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let at = view.change();
    view.merge_all(now, [member(2, 2), member(4, 1)].into_iter());
    assert_eq!(view.beyond(Some(at), &[]), [member(2, 2), member(4, 1)]);
    assert_eq!(view.beyond(Some(at), &[member(4, 1)]), [member(2, 2)]);
    assert!(view.beyond(Some(Change(u64::MAX)), &[]).is_empty());
}

#[test]
fn merge_all_from_a_neighbour_is_no_news_for_it() {
    let now = Instant::now();
    let mut view = view(1, &[2, 3]);
    let sent = view.change();
    let told = view.merge_told(now, [member(4, 1)].into_iter(), sent);
    assert_eq!(told, view.change());
    // Something else changed between what was sent and the answer.
    view.merge_all(now, [member(5, 1)].into_iter());
    let told = view.merge_told(now, [member(6, 1)].into_iter(), sent);
    assert_eq!(told, sent);
}
