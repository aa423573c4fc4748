//! Retry accounts over whole call trees, retry decisions and repeat detection.

#![allow(missing_docs)]

use bramleymount::model::{Retries, Verdict};
use bramleymount::policy::retry::{
    FailedAttempt, RepeatDetector, RepeatSafety, RetryAccount, RetryDecision, RetryGrant,
    RetryRatio, decide_retry,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::time::Duration;

/// A call tree whose attempts fail, get lost or are answered twice.
struct Tree {
    rng: SmallRng,
    fan_out: u32,
    lost_rate: f64,
    failed_rate: f64,
    duplicate_rate: f64,
    calls: u32,
    used: u32,
}

impl Tree {
    /// Makes one call with its downstream calls; returns whether it was answered.
    fn call(&mut self, depth: u32, account: &mut RetryAccount) -> bool {
        self.calls += 1;
        loop {
            let grant = account.grant();
            let (answered, rest) = self.attempt(depth, grant);
            match rest {
                Some(rest) => {
                    account.reclaim(grant.id, rest);
                    if self.rng.random_bool(self.duplicate_rate) {
                        account.reclaim(grant.id, rest);
                    }
                }
                None => account.discard(grant.id),
            }
            if answered || self.calls > 5000 || !account.spend() {
                return answered;
            }
            self.used += 1;
        }
    }

    fn attempt(&mut self, depth: u32, grant: RetryGrant) -> (bool, Option<Retries>) {
        let mut account = RetryAccount::new(grant.retries);
        let mut succeeded = !self.rng.random_bool(self.failed_rate);
        if depth > 0 {
            // Concurrent children: all grants are made before any is returned.
            let grants: Vec<RetryGrant> = (0..self.fan_out).map(|_| account.grant()).collect();
            for child in grants {
                let mut child_account = RetryAccount::new(child.retries);
                succeeded &= self.call(depth - 1, &mut child_account);
                if self.rng.random_bool(self.lost_rate) {
                    account.discard(child.id);
                } else {
                    account.reclaim(child.id, child_account.close());
                }
            }
        }
        if self.rng.random_bool(self.lost_rate) {
            return (false, None);
        }
        (succeeded, Some(account.close()))
    }
}

proptest! {
    #[test]
    fn account_total_is_never_exceeded(
        seed: u64, depth in 1u32..=29, fan_out in 1u32..=3, retries in 0u32..=8,
        lost_rate in 0.0..0.6, failed_rate in 0.0..0.9, duplicate_rate in 0.0..0.5,
    ) {
        // Wide trees are kept shallow, chains are not.
        let depth = if fan_out == 1 { depth } else { depth.min(6) };
        let mut tree = Tree {
            rng: SmallRng::seed_from_u64(seed), fan_out, lost_rate, failed_rate, duplicate_rate,
            calls: 0, used: 0,
        };
        let mut account = RetryAccount::new(Retries::new(retries));
        tree.call(depth, &mut account);
        prop_assert!(tree.used + account.left().get() <= retries);
    }
}

#[rstest]
fn account_chain_is_never_exceeded(#[values(1, 2, 5, 10, 20, 29)] depth: u32) {
    for seed in 0..200 {
        let rng = SmallRng::seed_from_u64(seed);
        let mut tree = Tree {
            rng,
            fan_out: 1,
            lost_rate: 0.3,
            failed_rate: 1.0,
            duplicate_rate: 0.2,
            calls: 0,
            used: 0,
        };
        tree.call(depth, &mut RetryAccount::new(Retries::new(3)));
        assert!(tree.used <= 3, "seed {seed}: {} retries", tree.used);
    }
}

#[rstest]
#[case::not_run(Verdict::NotRun, false, RepeatSafety::Unsafe, RetryDecision::Retry)]
#[case::lost_idempotent(Verdict::MayHaveRun, false, RepeatSafety::Safe, RetryDecision::Retry)]
#[case::lost_once(
    Verdict::MayHaveRun,
    false,
    RepeatSafety::Unsafe,
    RetryDecision::GiveUp
)]
#[case::ran(Verdict::Ran, false, RepeatSafety::Safe, RetryDecision::GiveUp)]
#[case::overload(Verdict::NotRun, true, RepeatSafety::Safe, RetryDecision::GiveUp)]
fn decide_by_verdict(
    #[case] verdict: Verdict,
    #[case] overload: bool,
    #[case] safety: RepeatSafety,
    #[case] expected: RetryDecision,
) {
    let mut account = RetryAccount::new(Retries::new(1));
    let failure = FailedAttempt {
        verdict,
        overload,
        time_left: Duration::from_secs(1),
    };
    assert_eq!(
        decide_retry(failure, safety, &mut account, || RetryRatio::default()
            .try_take()),
        expected
    );
}

#[test]
fn ratio_runs_out_and_fills() {
    let mut ratio = RetryRatio::default();
    let taken = (0..100).filter(|_| ratio.try_take()).count();
    assert_eq!(taken, 10);
    (0..10).for_each(|_| ratio.record_answer());
    assert!(ratio.try_take());
    assert!(!ratio.try_take());
}

/// A request with two concurrent branches has retries for both, and gets back
/// what a branch does not use.
#[test]
fn grant_leaves_some_for_a_second_branch() {
    let mut account = RetryAccount::new(Retries::new(64));
    let first = account.grant();
    let second = account.grant();
    assert_eq!((first.retries.get(), second.retries.get()), (48, 12));
    account.reclaim(first.id, Retries::new(40));
    assert_eq!(account.left().get(), 44);
}

#[rstest]
#[case::first(Some(1), None, false)]
#[case::counted(Some(2), None, true)]
#[case::key(None, Some(7), true)]
fn repeats_by_count_and_key(
    #[case] attempt: Option<u32>,
    #[case] key: Option<u64>,
    #[case] expected: bool,
) {
    let mut repeats = RepeatDetector::default();
    repeats.check(None, Some(7));
    assert_eq!(repeats.check(attempt, key), expected);
}
