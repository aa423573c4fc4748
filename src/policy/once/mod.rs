//! At most once: who may ever start a key, and what became of it.

mod begin;
mod claim;
mod entry;
mod home;
mod interval;
mod ledger;
mod place;
mod plan;
mod reason;

pub use begin::Begin;
pub use claim::{Claim, ClaimCheck, Nonce, claim_key, judge_claim};
pub use entry::{Entry, Kept, State};
pub use home::{HomeRow, Owner, SLOTS};
pub use interval::Interval;
pub use ledger::{Ledger, LedgerLimits};
pub use place::{Place, authority, place};
pub use plan::{Horizon, Successor, hand_over, plan};
pub use reason::Refuse;
