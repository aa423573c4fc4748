//! At-most-once execution: which instance owns a key, and the outcome of its call.

mod claim;
mod decision;
mod destination;
mod entry;
mod interval;
mod ledger;
mod ownership;
mod plan;
mod refusal;

pub use claim::{Claim, ClaimCheck, Nonce, check_claim, claim_row_key};
pub use decision::OnceDecision;
pub use destination::{Destination, check_owner, destination};
pub use entry::{Entry, KeyState, StoredAnswer};
pub use interval::Interval;
pub use ledger::{Ledger, LedgerLimits};
pub use ownership::{Owner, OwnershipRow, SLOTS};
pub use plan::{Horizon, Successor, hand_over, plan_ownership};
pub use refusal::OnceRefusal;
