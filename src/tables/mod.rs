//! Tables shared by the tasks of one daemon.
//!
//! Lock order: a thread that holds a lock may only take locks further down this
//! list. No lock is held across an await.
//!
//! 1. `CurrentConfiguration` (configuration in force)
//! 2. `Members` (view of the estate)
//! 3. `OwnershipTable` (ownership rows)
//! 4. `TargetTables` (tables of targets), then one table
//! 5. `RouteSplits` (weighted splits of routes)
//! 6. `ParentCalls` (calls in flight at the backend server), then one account
//! 7. `Gate` (admission)
//! 8. `Ledger` (once calls)
//! 9. `SuspectTable` (requests in flight at crashes)
//! 10. `WorkspaceRates` (credit of workspaces): the ring, credits, then buckets
//! 11. `CallJournal` and histograms

mod current;
mod journal;
mod log_limiter;
mod notices;
mod ownership;
mod parent_calls;
mod rates;
mod readiness;
mod shared;
mod splits;
mod suspects;
mod targets;

pub use current::{ActiveConfiguration, CurrentConfiguration};
pub use journal::{CallJournal, CallStep, JournalEntry, StepDetail};
pub use log_limiter::{CallLogLimiter, LineKind, SuppressedLines};
pub use notices::ServerNotices;
pub use ownership::{OwnershipTable, StoredOwnership};
pub use parent_calls::{ParentCall, ParentCallGuard, ParentCalls};
pub use rates::{RateCount, WorkspaceCredit, WorkspaceRates, add_jitter};
pub use readiness::Readiness;
pub use shared::{Shared, mint_now, signed_ms, unix_ms};
pub use splits::RouteSplits;
pub use suspects::SuspectTable;
pub use targets::TargetTables;
