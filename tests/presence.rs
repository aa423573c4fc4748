//! Announcements of a backend server that come late, twice or from a run that
//! is gone.

#![allow(missing_docs)]

use bramleymount::model::{ServerId, Slots};
use bramleymount::policy::member::{Announcement, Intent, Presence, Presented};
use rstest::rstest;

fn id(text: &str) -> ServerId {
    text.parse().expect("an id")
}

fn news(server: &str, intent: Intent, sequence: u64) -> Announcement {
    Announcement {
        server: id(server),
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
    assert!(!presence.serves());
    assert_eq!(presence.announce(&serve("a", 3)), Presented::Arrived);
    assert_eq!(presence.announce(&serve("a", 4)), Presented::Renewed);
    assert!(presence.serves());
}

#[rstest]
#[case::twice(4)]
#[case::earlier(2)]
fn announce_passes_over_late_news(#[case] sequence: u64) {
    let mut presence = Presence::default();
    presence.announce(&news("a", Intent::Leave, 4));
    assert_eq!(presence.announce(&serve("a", sequence)), Presented::Old);
    assert!(!presence.serves());
}

#[test]
fn announce_passes_over_a_run_that_was_replaced() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 20));
    assert_eq!(presence.announce(&serve("b", 1)), Presented::Arrived);
    // Held up by a cut, it arrives after its sender has crashed.
    assert_eq!(presence.announce(&serve("a", 21)), Presented::Old);
    assert_eq!(presence.server(), Some(&id("b")));
    assert!(presence.serves());
}

#[test]
fn depart_ends_the_run_that_is_present() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    assert!(presence.depart(&id("a")));
    assert!(!presence.serves());
    assert_eq!(presence.announce(&serve("a", 2)), Presented::Old);
}

#[test]
fn depart_of_an_earlier_run_changes_nothing() {
    let mut presence = Presence::default();
    presence.announce(&serve("a", 1));
    presence.announce(&serve("b", 1));
    assert!(!presence.depart(&id("a")));
    assert!(presence.serves());
}

#[test]
fn displaced_lets_the_run_that_was_met_come_back() {
    let mut presence = Presence::default();
    presence.announce(&serve("b", 5));
    // A late announcement of a dead run took the place of a living one.
    presence.announce(&serve("a", 40));
    presence.displaced(&id("a"), Some(&id("b")));
    assert_eq!(presence.announce(&serve("b", 6)), Presented::Arrived);
    assert!(presence.serves());
    assert_eq!(presence.announce(&serve("a", 41)), Presented::Old);
}

#[test]
fn announce_takes_a_server_back_that_stays_after_all() {
    let mut presence = Presence::default();
    presence.announce(&news("a", Intent::Leave, 4));
    assert_eq!(presence.announce(&serve("a", 5)), Presented::Arrived);
    assert_eq!(presence.announce(&serve("a", 6)), Presented::Renewed);
}
