//! Announcements of a backend server that are late, duplicated or from an ended run.

#![allow(missing_docs)]

use bramleymount::model::{ServerId, ServerStart, Slots};
use bramleymount::policy::member::{Announcement, AnnouncementEffect, Intent, Presence};
use rstest::rstest;

fn id(text: &str) -> ServerId {
    text.parse().expect("an id")
}

fn announcement(server: &str, intent: Intent, sequence: u64) -> Announcement {
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
    announcement(server, Intent::Serve, sequence)
}

#[test]
fn announce_accepts_the_first_and_its_renewals() {
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
fn announce_ignores_stale_announcements(#[case] sequence: u64) {
    let mut presence = Presence::default();
    presence.announce(&announcement("a", Intent::Leave, 4));
    assert_eq!(
        presence.announce(&serve("a", sequence)),
        AnnouncementEffect::Stale
    );
    assert!(!presence.is_serving());
}

#[test]
fn announce_ignores_a_replaced_run() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 20));
    assert_eq!(
        presence.announce(&serve("b", 1)),
        AnnouncementEffect::Arrived
    );
    // Delayed by a network partition, it arrives after its sender has crashed.
    assert_eq!(
        presence.announce(&serve("a", 21)),
        AnnouncementEffect::Stale
    );
    assert_eq!(presence.server(), Some(&id("b")));
    assert!(presence.is_serving());
}

#[test]
fn record_departure_ends_the_present_run() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    assert!(presence.record_departure(&id("a"), None));
    assert!(!presence.is_serving());
    assert_eq!(presence.announce(&serve("a", 2)), AnnouncementEffect::Stale);
}

#[test]
fn record_departure_of_an_earlier_run_changes_nothing() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    presence.announce(&serve("b", 1));
    assert!(!presence.record_departure(&id("a"), None));
    assert!(presence.is_serving());
}

#[test]
fn record_mismatch_readmits_the_run_that_was_found() {
    let mut presence = Presence::default();
    presence.announce(&serve("b", 5));
    // A late announcement of an ended run replaced the live one.
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
fn announce_resumes_a_server_that_was_leaving() {
    let mut presence = Presence::default();
    presence.announce(&announcement("a", Intent::Leave, 4));
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
        start: Some(ServerStart::from_millis(born)),
        ..serve(server, sequence)
    }
}

#[test]
fn announce_accepts_a_later_run_of_the_same_id() {
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
fn announce_ignores_an_earlier_run_of_the_same_id(#[case] sequence: u64) {
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
fn announce_accepts_a_server_that_departed_and_restarted() {
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
fn announce_accepts_a_restarted_server_that_was_replaced() {
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
fn announce_distinguishes_runs_when_only_the_departure_is_known() {
    let mut presence = Presence::default();
    // A daemon that started late has no announcement of the first run of "a".
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
fn announce_without_a_start_is_stale_after_departure() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 1_000, 20));
    presence.record_departure(&id("a"), None);
    assert_eq!(
        presence.announce(&serve("a", 30)),
        AnnouncementEffect::Stale
    );
}

#[test]
fn record_departure_of_an_earlier_run_of_the_same_id_changes_nothing() {
    let mut presence = Presence::default();
    presence.announce(&run("a", 2_000, 1));
    assert!(!presence.record_departure(&id("a"), Some(ServerStart::from_millis(1_000))));
    assert!(presence.is_serving());
    assert!(presence.record_departure(&id("a"), Some(ServerStart::from_millis(2_000))));
    assert!(!presence.is_serving());
}

/// The notice in a server's answers takes precedence over its announcements,
/// which may be late.
#[test]
fn record_leaving_holds_against_later_announcements_of_the_run() {
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
fn record_leaving_applies_to_one_run_of_a_server() {
    let mut presence = Presence::default();
    let born = |millis| Announcement {
        start: Some(ServerStart::from_millis(millis)),
        ..serve("a", 1)
    };
    presence.announce(&born(1));
    let first = presence.run().expect("a run");
    presence.announce(&born(2));
    assert!(!presence.record_leaving(first));
    assert!(presence.is_serving());
}
