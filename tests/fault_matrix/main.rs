//! Injects every fault at every step of the once, configuration and membership
//! protocols, and random schedules of faults, into the real decision code.
//!
//! The number of steps is counted in a run without faults, so that added steps
//! are covered automatically. `FAULT_SCHEDULES=100000` runs more random
//! schedules; a failure prints the seed that reproduces it.

#![allow(missing_docs)]

mod fault;
mod platform;
mod world;

use fault::Fault;
use rstest::rstest;
use world::{Keys, World};

/// Default number of random schedules.
const SCHEDULES: u64 = 10_000;

/// Runs one case and returns its number of steps and the violations found.
fn case(seed: u64, keys: Keys, faults: &[(usize, Fault)]) -> (usize, Vec<String>) {
    let mut world = World::new(seed, keys);
    world.inject(faults);
    world.run();
    (world.steps(), world.violations())
}

#[rstest]
#[case::dated(Keys::Dated)]
#[case::ticket(Keys::Ticket)]
#[case::opaque(Keys::Opaque)]
fn once_every_fault_at_every_step(#[case] keys: Keys) {
    let mut cases = 0;
    let mut broken = Vec::new();
    let (steps, calm) = case(1, keys, &[]);
    assert_eq!(calm, Vec::<String>::new(), "a run without faults");
    for fault in Fault::ALL {
        for step in 0..steps {
            let (_, violations) = case(1, keys, &[(step, fault)]);
            cases += 1;
            broken.extend(
                violations
                    .into_iter()
                    .map(|v| format!("{fault:?} at step {step}: {v}")),
            );
        }
    }
    println!(
        "{keys:?}: {steps} steps, cases {cases}, violations {}",
        broken.len()
    );
    assert_eq!(
        broken.iter().take(5).collect::<Vec<_>>(),
        Vec::<&String>::new()
    );
}

#[test]
fn once_two_faults_at_once() {
    let mut cases = 0;
    let mut broken = Vec::new();
    let (steps, _) = case(2, Keys::Mixed, &[]);
    for (place, first) in Fault::ALL.into_iter().enumerate() {
        for second in Fault::ALL.into_iter().skip(place) {
            for step in (0..steps).step_by(7) {
                let faults = [(step, first), (step + 3, second)];
                let (_, violations) = case(2, Keys::Mixed, &faults);
                cases += 1;
                broken.extend(violations.into_iter().map(|v| format!("{faults:?}: {v}")));
            }
        }
    }
    println!("two faults: cases {cases}, violations {}", broken.len());
    assert_eq!(
        broken.iter().take(5).collect::<Vec<_>>(),
        Vec::<&String>::new()
    );
}

#[test]
fn once_random_schedules() {
    let count = std::env::var("FAULT_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let workers = 8;
    let broken: Vec<String> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..workers)
            .map(|worker| {
                scope.spawn(move || {
                    let mut broken = Vec::new();
                    for seed in (worker..count).step_by(workers as usize) {
                        let faults = Fault::schedule(seed);
                        let (_, violations) = case(seed, Keys::Mixed, &faults);
                        broken.extend(violations.into_iter().map(|v| format!("seed {seed}: {v}")));
                    }
                    broken
                })
            })
            .collect();
        handles
            .into_iter()
            .flat_map(|h| h.join().expect("a worker"))
            .collect()
    });
    println!(
        "random schedules: cases {count}, violations {}",
        broken.len()
    );
    assert_eq!(
        broken.iter().take(5).collect::<Vec<_>>(),
        Vec::<&String>::new()
    );
}
