//! A server that slows down when it is nearly full.
//!
//! Load pattern: more calls than it can run, all the time, as the last service
//! of the users' chains gets in a surge. Figures: 29 slots, calls of 55 ms,
//! 1.3 times as long while over 95 in 100 of the slots are taken; these stand
//! on the users' sheets and were seen on their bench (27 slots of 29 served
//! more on every heavy day).

#![allow(missing_docs)]

use bramleymount::model::Slots;
use bramleymount::policy::admission::usable_slots;
use rstest::rstest;

const WORK_MS: f64 = 55.0;
const KNEE: f64 = 0.95;
const SLOWER: f64 = 1.3;

/// Calls a second of a server with `slots` of which `used` are always taken.
fn capacity(slots: u32, used: u32, slower: f64) -> f64 {
    let nearly_full = f64::from(used) > f64::from(slots) * KNEE;
    let work = if nearly_full {
        WORK_MS * slower
    } else {
        WORK_MS
    };
    f64::from(used) * 1000.0 / work
}

#[rstest]
#[case::small(29)]
#[case::other_site(27)]
#[case::large(244)]
fn usable_serves_more_past_the_knee(#[case] slots: u32) {
    let used = usable_slots(Slots::new(slots)).get();
    let all = capacity(slots, slots, SLOWER);
    assert!(capacity(slots, used, SLOWER) > all * 1.15);
}

#[rstest]
fn usable_costs_little_without_a_knee(#[values(17, 27, 29, 72, 119, 273)] slots: u32) {
    let used = usable_slots(Slots::new(slots)).get();
    assert!(capacity(slots, used, 1.0) > capacity(slots, slots, 1.0) * 0.92);
}

#[rstest]
fn usable_keeps_all_of_few(#[values(1, 2, 16)] slots: u32) {
    assert_eq!(usable_slots(Slots::new(slots)), Slots::new(slots));
}
