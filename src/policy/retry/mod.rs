//! How many retries a request may use, and which failures may be retried.

mod account;
mod allowance;
mod budget;
mod decide;
mod ratio;
mod repeat;
mod window;

pub use account::{Account, Loan, LoanId};
pub use allowance::{Allowance, AllowanceSettings};
pub use budget::RetryBudget;
pub use decide::{Failure, Retry, Safety, decide};
pub use ratio::Ratio;
pub use repeat::Repeats;
