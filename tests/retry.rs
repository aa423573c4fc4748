//! The retry account over whole trees of calls.

#![allow(missing_docs)]

use bramleymount::model::{Retries, Verdict};
use bramleymount::policy::retry::{Account, Failure, Loan, Ratio, Repeats, Retry, Safety, decide};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::time::Duration;

/// A tree of calls whose attempts fail, are lost and answer twice.
struct Tree {
    rng: SmallRng,
    fan_out: u32,
    lost: f64,
    failed: f64,
    twice: f64,
    calls: u32,
    spent: u32,
}

impl Tree {
    /// Makes one call with all below it; returns what goes home, or nothing
    /// if the answer is lost.
    fn call(&mut self, depth: u32, account: &mut Account) -> bool {
        self.calls += 1;
        loop {
            let loan = account.lend();
            let (answered, rest) = self.attempt(depth, loan);
            match rest {
                Some(rest) => {
                    account.settle(loan.id, rest);
                    if self.rng.random_bool(self.twice) {
                        account.settle(loan.id, rest);
                    }
                }
                None => account.write_off(loan.id),
            }
            if answered || self.calls > 5000 || !account.spend() {
                return answered;
            }
            self.spent += 1;
        }
    }

    fn attempt(&mut self, depth: u32, loan: Loan) -> (bool, Option<Retries>) {
        let mut own = Account::open(loan.retries);
        let mut well = !self.rng.random_bool(self.failed);
        if depth > 0 {
            // Children at the same time: all loans are out before any is home.
            let loans: Vec<Loan> = (0..self.fan_out).map(|_| own.lend()).collect();
            for child in loans {
                let mut below = Account::open(child.retries);
                well &= self.call(depth - 1, &mut below);
                if self.rng.random_bool(self.lost) {
                    own.write_off(child.id);
                } else {
                    own.settle(child.id, below.close());
                }
            }
        }
        if self.rng.random_bool(self.lost) {
            return (false, None);
        }
        (well, Some(own.close()))
    }
}

proptest! {
    #[test]
    fn account_total_never_passes(
        seed: u64, depth in 1u32..=29, fan_out in 1u32..=3, retries in 0u32..=8,
        lost in 0.0..0.6, failed in 0.0..0.9, twice in 0.0..0.5,
    ) {
        // A wide tree is cut short, a chain is not.
        let depth = if fan_out == 1 { depth } else { depth.min(6) };
        let mut tree = Tree {
            rng: SmallRng::seed_from_u64(seed), fan_out, lost, failed, twice, calls: 0, spent: 0,
        };
        let mut account = Account::open(Retries::new(retries));
        tree.call(depth, &mut account);
        prop_assert!(tree.spent + account.left().get() <= retries);
    }
}

#[rstest]
fn account_chain_never_passes(#[values(1, 2, 5, 10, 20, 29)] depth: u32) {
    for seed in 0..200 {
        let rng = SmallRng::seed_from_u64(seed);
        let mut tree = Tree {
            rng,
            fan_out: 1,
            lost: 0.3,
            failed: 1.0,
            twice: 0.2,
            calls: 0,
            spent: 0,
        };
        tree.call(depth, &mut Account::open(Retries::new(3)));
        assert!(tree.spent <= 3, "seed {seed}: {} retries", tree.spent);
    }
}

#[rstest]
#[case::not_run(Verdict::NotRun, false, Safety::Once, Retry::Again)]
#[case::lost_idempotent(Verdict::MayHaveRun, false, Safety::Idempotent, Retry::Again)]
#[case::lost_once(Verdict::MayHaveRun, false, Safety::Once, Retry::GiveUp)]
#[case::ran(Verdict::Ran, false, Safety::Idempotent, Retry::GiveUp)]
#[case::overload(Verdict::NotRun, true, Safety::Idempotent, Retry::GiveUp)]
fn decide_by_verdict(
    #[case] verdict: Verdict,
    #[case] overload: bool,
    #[case] safety: Safety,
    #[case] expected: Retry,
) {
    let mut account = Account::open(Retries::new(1));
    let failure = Failure {
        verdict,
        overload,
        left: Duration::from_secs(1),
    };
    assert_eq!(
        decide(failure, safety, &mut account, || Ratio::default().take()),
        expected
    );
}

#[test]
fn ratio_runs_out_and_fills() {
    let mut ratio = Ratio::default();
    let taken = (0..100).filter(|_| ratio.take()).count();
    assert_eq!(taken, 10);
    (0..10).for_each(|_| ratio.answered());
    assert!(ratio.take());
    assert!(!ratio.take());
}

/// A request of two branches at the same time has retries for both, and what a
/// branch does not use comes home.
#[test]
fn lend_leaves_some_for_a_second_branch() {
    let mut account = Account::open(Retries::new(64));
    let first = account.lend();
    let second = account.lend();
    assert_eq!((first.retries.get(), second.retries.get()), (48, 12));
    account.settle(first.id, Retries::new(40));
    assert_eq!(account.left().get(), 44);
}

#[rstest]
#[case::first(Some(1), None, false)]
#[case::counted(Some(2), None, true)]
#[case::key(None, Some(7), true)]
fn repeats_by_count_and_key(
    #[case] attempt: Option<u32>,
    #[case] key: Option<u64>,
    #[case] again: bool,
) {
    let mut repeats = Repeats::default();
    repeats.check(None, Some(7));
    assert_eq!(repeats.check(attempt, key), again);
}
