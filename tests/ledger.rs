//! Limits of the ledger of once calls; keys that were dropped never run again.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::model::{MintTime, OnceKey};
use bramleymount::policy::once::{Ledger, LedgerLimits, OnceDecision, OnceRefusal, StoredAnswer};
use uuid::{NoContext, Timestamp, Uuid};

const MINT_START_MS: u64 = 1_000_000;

fn key(ms: u64) -> OnceKey {
    let time = Timestamp::from_unix(NoContext, ms / 1000, (ms % 1000) as u32 * 1_000_000);
    OnceKey::Dated(Uuid::new_v7(time))
}

fn answer(size: usize) -> StoredAnswer {
    let body = Some(vec![0; size].into());
    StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body,
    }
}

fn ledger(bytes: usize) -> Ledger {
    let retention = Duration::from_secs(3600);
    Ledger::new(LedgerLimits { bytes, retention })
}

#[test]
fn begin_refuses_dropped_keys() {
    let mut ledger = ledger(200_000);
    let keys: Vec<OnceKey> = (0..100).map(|n| key(MINT_START_MS + n * 10)).collect();
    for (n, key) in keys.iter().enumerate() {
        let now = MintTime::from_millis(MINT_START_MS + n as u64 * 10);
        assert_eq!(ledger.begin(now, key, 1), OnceDecision::Start);
        ledger.finish(key, answer(10_000));
        assert!(ledger.bytes() <= 200_000);
    }
    let now = MintTime::from_millis(MINT_START_MS + 2000);
    let again = ledger.begin(now, &keys[0], 1);
    assert_eq!(again, OnceDecision::Refuse(OnceRefusal::Forgotten));
    assert!(matches!(
        ledger.begin(now, &keys[99], 1),
        OnceDecision::Answer(_)
    ));
}

#[test]
fn set_limits_shrinks_the_ledger() {
    let mut ledger = ledger(1 << 20);
    let now = MintTime::from_millis(MINT_START_MS);
    for n in 0..40 {
        let key = key(MINT_START_MS + n);
        ledger.begin(now, &key, 1);
        ledger.finish(&key, answer(10_000));
    }
    let retention = Duration::from_secs(3600);
    let bytes = 100_000;
    ledger.set_limits(LedgerLimits { bytes, retention });
    ledger.begin(now, &key(MINT_START_MS + 500), 1);
    assert!(ledger.bytes() <= bytes, "{}", ledger.bytes());
}

#[test]
fn begin_refuses_when_all_run() {
    let mut ledger = ledger(60_000);
    let now = MintTime::from_millis(MINT_START_MS);
    let begun: Vec<OnceDecision> = (0..5)
        .map(|n| ledger.begin(now, &key(MINT_START_MS + n), 1))
        .collect();
    assert_eq!(begun[0], OnceDecision::Start);
    assert_eq!(begun[4], OnceDecision::Refuse(OnceRefusal::LedgerFull));
}

#[test]
fn finish_drops_large_body_and_says_ran() {
    let mut ledger = ledger(1 << 20);
    let now = MintTime::from_millis(MINT_START_MS);
    let key = key(MINT_START_MS);
    ledger.begin(now, &key, 1);
    ledger.finish(&key, answer(100_000));
    assert_eq!(
        ledger.begin(now, &key, 1),
        OnceDecision::Refuse(OnceRefusal::AnswerNotKept)
    );
}
