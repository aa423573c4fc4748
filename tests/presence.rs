//! Announcements of a backend server that come late, twice or from a run that
//! is gone.

#![allow(missing_docs)]

use bramleymount::model::{Born, ServerId, Slots};
use bramleymount::policy::member::{Announcement, AnnouncementEffect, Intent, Presence};
use rstest::rstest;

fn id(text: &str) -> ServerId {
    text.parse().expect("an id")
}

fn news(server: &str, intent: Intent, sequence: u64) -> Announcement {
    Announcement {
        server: id(server),
        start: None,
        intent,
        slots: Slots::new(29),
        cold: false,
        sequence,
    }
}

fn serve(server: &str, sequence: u64) -> Announcement {
    news(server, Intent::Serve, sequence)
}

#[test]
fn announce_takes_the_first_and_its_renewals() {
    let mut presence = Presence::default();
    assert!(!presence.is_serving());
    assert_eq!(
        presence.announce(&serve("a", 3)),
        AnnouncementEffect::Arrived
    );
    assert_eq!(
        presence.announce(&serve("a", 4)),
        AnnouncementEffect::Renewed
    );
    assert!(presence.is_serving());
}

#[rstest]
#[case::twice(4)]
#[case::earlier(2)]
fn announce_passes_over_late_news(#[case] sequence: u64) {
    let mut presence = Presence::default();
    presence.announce(&news("a", Intent::Leave, 4));
    assert_eq!(
        presence.announce(&serve("a", sequence)),
        AnnouncementEffect::Stale
    );
    assert!(!presence.is_serving());
}

#[test]
fn announce_passes_over_a_run_that_was_replaced() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 20));
    assert_eq!(
        presence.announce(&serve("b", 1)),
        AnnouncementEffect::Arrived
    );
    // Held up by a cut, it arrives after its sender has crashed.
    assert_eq!(
        presence.announce(&serve("a", 21)),
        AnnouncementEffect::Stale
    );
    assert_eq!(presence.server(), Some(&id("b")));
    assert!(presence.is_serving());
}

#[test]
fn depart_ends_the_run_that_is_present() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    assert!(presence.record_departure(&id("a"), None));
    assert!(!presence.is_serving());
    assert_eq!(presence.announce(&serve("a", 2)), AnnouncementEffect::Stale);
}

#[test]
fn depart_of_an_earlier_run_changes_nothing() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    presence.announce(&serve("b", 1));
    assert!(!presence.record_departure(&id("a"), None));
    assert!(presence.is_serving());
}

#[test]
fn displaced_lets_the_run_that_was_met_come_back() {
    let mut presence = Presence::default();
    presence.announce(&serve("b", 5));
    // A late announcement of a dead run took the place of a living one.
    presence.announce(&serve("a", 40));
    presence.record_mismatch(&id("a"), Some(&id("b")));
    assert_eq!(
        presence.announce(&serve("b", 6)),
        AnnouncementEffect::Arrived
    );
    assert!(presence.is_serving());
    assert_eq!(
        presence.announce(&serve("a", 41)),
        AnnouncementEffect::Stale
    );
}

#[test]
fn announce_takes_a_server_back_that_stays_after_all() {
    let mut presence = Presence::default();
    presence.announce(&news("a", Intent::Leave, 4));
    assert_eq!(
        presence.announce(&serve("a", 5)),
        AnnouncementEffect::Resumed
    );
    assert_eq!(
        presence.announce(&serve("a", 6)),
        AnnouncementEffect::Renewed
    );
}

fn run(server: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        start: Some(Born::from_millis(born)),
        ..serve(server, sequence)
    }
}

#[test]
fn announce_takes_a_later_run_of_the_same_id() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    assert_eq!(
        presence.announce(&run("a", 2_000, 1)),
        AnnouncementEffect::Arrived
    );
    assert_eq!(
        presence.announce(&run("a", 2_000, 2)),
        AnnouncementEffect::Renewed
    );
    assert!(presence.is_serving());
}

#[rstest]
#[case::greater_sequence(21)]
#[case::same_sequence(1)]
fn announce_passes_over_an_earlier_run_of_the_same_id(#[case] sequence: u64) {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    presence.announce(&run("a", 2_000, 1));
    assert_eq!(
        presence.announce(&run("a", 1_000, sequence)),
        AnnouncementEffect::Stale
    );
    assert_eq!(
        presence.announce(&run("a", 2_000, 2)),
        AnnouncementEffect::Renewed
    );
}

#[test]
fn announce_takes_a_server_back_that_said_goodbye_and_started_again() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    assert!(presence.record_departure(&id("a"), None));
    assert_eq!(
        presence.announce(&run("a", 1_000, 21)),
        AnnouncementEffect::Stale
    );
    assert_eq!(
        presence.announce(&run("a", 2_000, 1)),
        AnnouncementEffect::Arrived
    );
    assert!(presence.is_serving());
}

#[test]
fn announce_takes_a_server_back_after_another_had_its_place() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    presence.announce(&run("b", 2_000, 1));
    assert_eq!(
        presence.announce(&run("a", 1_000, 21)),
        AnnouncementEffect::Stale
    );
    assert_eq!(
        presence.announce(&run("a", 3_000, 1)),
        AnnouncementEffect::Arrived
    );
}

#[test]
fn announce_tells_runs_apart_where_only_the_goodbye_was_heard() {
    let mut presence = Presence::default();
    // A daemon that started late never heard the first run of "a".
    presence.announce(&run("b", 2_000, 1));
    assert!(!presence.record_departure(&id("a"), None));
    assert_eq!(
        presence.announce(&run("a", 1_000, 21)),
        AnnouncementEffect::Stale
    );
    assert_eq!(
        presence.announce(&run("a", 3_000, 1)),
        AnnouncementEffect::Arrived
    );
}

#[test]
fn announce_keeps_the_former_order_without_a_start() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    presence.record_departure(&id("a"), None);
    assert_eq!(
        presence.announce(&serve("a", 30)),
        AnnouncementEffect::Stale
    );
}

#[test]
fn depart_of_an_earlier_run_of_the_same_id_changes_nothing() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 2_000, 1));
    assert!(!presence.record_departure(&id("a"), Some(Born::from_millis(1_000))));
    assert!(presence.is_serving());
    assert!(presence.record_departure(&id("a"), Some(Born::from_millis(2_000))));
    assert!(!presence.is_serving());
}

/// A server's word in its answers comes before its announcements, which may be
/// late.
#[test]
fn leave_holds_against_later_announcements_of_the_run() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 3));
    let run = presence.run().expect("a run");
    assert!(presence.record_leaving(run));
    assert!(!presence.record_leaving(run));
    assert!(presence.is_leaving() && !presence.is_serving());
    assert_eq!(
        presence.announce(&serve("a", 4)),
        AnnouncementEffect::Leaving
    );
    assert!(!presence.is_serving());
    assert_eq!(
        presence.announce(&serve("b", 1)),
        AnnouncementEffect::Arrived
    );
    assert!(presence.is_serving() && !presence.is_leaving());
}

#[test]
fn leave_is_of_one_run_of_a_server() {
    let mut presence = Presence::default();
    let born = |millis| Announcement {
        start: Some(Born::from_millis(millis)),
        ..serve("a", 1)
    };
    presence.announce(&born(1));
    let first = presence.run().expect("a run");
    presence.announce(&born(2));
    assert!(!presence.record_leaving(first));
    assert!(presence.is_serving());
}
