//! Retry budgets of requests and services, and which failures may be retried.

mod account;
mod allowance;
mod budget;
mod decide;
mod ratio;
mod repeat;
mod window;

pub use account::{GrantId, RetryAccount, RetryGrant};
pub use allowance::{Allowance, AllowanceSettings};
pub use budget::RetryBudget;
pub use decide::{FailedAttempt, RepeatSafety, RetryDecision, decide_retry};
pub use ratio::RetryRatio;
pub use repeat::RepeatDetector;
