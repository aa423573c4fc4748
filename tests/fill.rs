//! A backend server that slows down when it is nearly full.
//!
//! Guards against the loss of capacity on a server that constantly gets more calls
//! than it can run, as the last service of a chain does in a surge. Figures: 29
//! slots; calls of 55 ms take 1.3 times as long while more than 95 in 100 of the slots
//! are taken, so that 27 of the 29 slots serve more calls than all of them.

#![allow(missing_docs)]

use bramleymount::model::Slots;
use bramleymount::policy::admission::usable_slots;
use rstest::rstest;

const CALL_MS: f64 = 55.0;
const SLOWDOWN_SHARE: f64 = 0.95;
const SLOWDOWN: f64 = 1.3;

/// Returns the calls a second of a server with `slots`, `used` of them always taken.
fn capacity(slots: u32, used: u32, slowdown: f64) -> f64 {
    let nearly_full = f64::from(used) > f64::from(slots) * SLOWDOWN_SHARE;
    let call_ms = if nearly_full {
        CALL_MS * slowdown
    } else {
        CALL_MS
    };
    f64::from(used) * 1000.0 / call_ms
}

#[rstest]
#[case::small(29)]
#[case::other_site(27)]
#[case::large(244)]
fn usable_slots_raise_capacity_past_slowdown(#[case] slots: u32) {
    let used = usable_slots(Slots::new(slots)).get();
    let all = capacity(slots, slots, SLOWDOWN);
    assert!(capacity(slots, used, SLOWDOWN) > all * 1.15);
}

#[rstest]
fn usable_slots_cost_little_without_slowdown(#[values(17, 27, 29, 72, 119, 273)] slots: u32) {
    let used = usable_slots(Slots::new(slots)).get();
    assert!(capacity(slots, used, 1.0) > capacity(slots, slots, 1.0) * 0.92);
}

#[rstest]
fn usable_slots_keep_all_of_few(#[values(1, 2, 16)] slots: u32) {
    assert_eq!(usable_slots(Slots::new(slots)), Slots::new(slots));
}
