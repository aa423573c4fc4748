//! Tables that the workers of one daemon share.
//!
//! Lock order: a thread that holds a lock takes only locks further down this
//! list, and holds none across an await.
//!
//! 1. `Current` (configuration in force)
//! 2. `Members` (view of the estate)
//! 3. `Homes` (home rows)
//! 4. `Routes` (tables of targets), then one table
//! 5. `Splits` (divisions of routes)
//! 6. `Calls` (held calls), then one account
//! 7. `Gate` (admission)
//! 8. `Ledger` (once calls)
//! 9. `Suspects` (requests under way at crashes)
//! 10. `Rates` (credit of workspaces): the ring, stocks, then buckets
//! 11. `Journal` and histograms

mod calls;
mod current;
mod decisions;
mod homes;
mod journal;
mod notices;
mod rates;
mod readiness;
mod routes;
mod shared;
mod splits;
mod suspects;

pub use calls::{Calls, Held, HeldCall};
pub use current::{Current, InForce};
pub use decisions::Decisions;
pub use homes::{Home, Homes};
pub use journal::{Detail, Journal, Note, Step};
pub use notices::Notices;
pub use rates::{Credit, RateCount, Rates, spread};
pub use readiness::Readiness;
pub use routes::Routes;
pub use shared::{Shared, mint_now, unix_ms};
pub use splits::Splits;
pub use suspects::Suspects;
