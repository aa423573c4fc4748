//! At most once: who may ever start a key, and what became of it.

mod claim;
mod home;
mod interval;
mod ledger;
mod place;
mod plan;
mod reason;

pub use claim::{Claim, ClaimCheck, Nonce, claim_key, judge_claim};
pub use home::{HomeRow, Owner, SLOTS};
pub use interval::Interval;
pub use ledger::{Begin, Entry, Kept, Ledger, LedgerLimits, State};
pub use place::{Place, authority, place};
pub use plan::{Horizon, Successor, hand_over, plan};
pub use reason::Refuse;
