//! A server that has just started, with more calls than it can run.
//!
//! Load pattern: all servers of an estate start anew at the same moment (power
//! comes back) while callers go on. Figures: 72 slots, calls of 220 ms that
//! take twice as long while the server is cold, as on the users' smaller site.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::Slots;
use bramleymount::policy::admission::{ConcurrencyLimit, Outcome};
use tokio::time::Instant;

const SLOTS: u32 = 72;
const WORK: Duration = Duration::from_millis(440);

/// Calls answered within `time` of a cold server that always has work.
fn served(limit: &mut ConcurrencyLimit, time: Duration) -> usize {
    let start = Instant::now();
    let mut running: Vec<Duration> = Vec::new();
    let mut done = 0;
    let mut now = Duration::ZERO;
    while now <= time {
        while running.len() < limit.get() {
            running.push(now + WORK);
        }
        let next = running.iter().min().copied().unwrap_or(time);
        now = next;
        let ending = running.iter().filter(|end| **end <= now).count();
        for left in 0..ending {
            let in_flight = running.len() - left;
            limit.record(start + now, Outcome::Answered, WORK, in_flight);
        }
        running.retain(|end| *end > now);
        done += ending;
    }
    done
}

#[test]
fn cold_limit_serves_most_of_what_is_possible_in_the_first_second() {
    let mut limit = ConcurrencyLimit::cold(Slots::new(SLOTS));
    let second = Duration::from_millis(900);
    // Two rounds of 440 ms fit; all slots would give 144.
    assert!(served(&mut limit, second) >= 100);
}

#[test]
fn cold_limit_falls_to_what_the_server_bears() {
    let mut limit = ConcurrencyLimit::cold(Slots::new(SLOTS));
    limit.record(Instant::now(), Outcome::Refused, WORK, 20);
    assert_eq!(limit.get(), 19);
}
