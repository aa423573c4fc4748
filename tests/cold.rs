//! The concurrency limit of a backend server that has just started.
//!
//! Guards against a limit that starts too low or grows too slowly when all servers
//! restart at once, for instance after a power failure, while callers keep sending.
//! Figures: 72 slots; calls of 220 ms take twice as long on a cold server.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::Slots;
use bramleymount::policy::admission::{ConcurrencyLimit, Outcome};
use tokio::time::Instant;

const SLOTS: u32 = 72;
const CALL_TIME: Duration = Duration::from_millis(440);

/// Returns the calls that a cold server answers within `time` under constant load.
fn served(limit: &mut ConcurrencyLimit, time: Duration) -> usize {
    let start = Instant::now();
    let mut running: Vec<Duration> = Vec::new();
    let mut done = 0;
    let mut now = Duration::ZERO;
    while now <= time {
        while running.len() < limit.get() {
            running.push(now + CALL_TIME);
        }
        let next = running.iter().min().copied().unwrap_or(time);
        now = next;
        let ending = running.iter().filter(|end| **end <= now).count();
        for left in 0..ending {
            let in_flight = running.len() - left;
            limit.record(start + now, Outcome::Answered, CALL_TIME, in_flight);
        }
        running.retain(|end| *end > now);
        done += ending;
    }
    done
}

#[test]
fn cold_limit_grows_within_first_second() {
    let mut limit = ConcurrencyLimit::cold(Slots::new(SLOTS));
    let second = Duration::from_millis(900);
    // Two rounds of 440 ms fit into the time; with all slots they would be 144 calls.
    assert!(served(&mut limit, second) >= 100);
}

#[test]
fn cold_limit_falls_on_refusal() {
    let mut limit = ConcurrencyLimit::cold(Slots::new(SLOTS));
    limit.record(Instant::now(), Outcome::Refused, CALL_TIME, 20);
    assert_eq!(limit.get(), 19);
}
