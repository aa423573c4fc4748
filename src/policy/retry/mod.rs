//! How many retries a request may use, and which failures may be retried.

mod account;
mod decide;
mod ratio;
mod repeat;

pub use account::{Account, Loan, LoanId};
pub use decide::{Failure, Retry, Safety, decide};
pub use ratio::{Ratio, RatioSettings};
pub use repeat::Repeats;
