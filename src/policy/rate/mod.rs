//! Rates of workspaces, held over all daemons together.
//!
//! Each limited workspace has one coordinating daemon, found on a [`Ring`] of
//! the members, whose [`Bucket`] fills at the workspace's rate. Daemons that
//! take its requests borrow credit from there ahead of need and keep it in a
//! [`Stock`]. Credit exists once: it leaves the bucket before a stock has it,
//! and what is lost on the way is gone. So no number of daemons makes requests
//! that nobody has credit for, and a workspace whose callers sit on one VM has
//! its whole rate there.
//!
//! A daemon that does not reach the coordinator goes on at the rate that it
//! last drew, which the coordinator leaves out of what it gives to others.
//! Escrow is known from stores of replicated counters (O'Neil, "The Escrow
//! Transactional Method", 1986), the choice of a coordinator by hash and its
//! taking over after a failure from distributed hash tables, as in the location
//! mechanism of Rilling and Morin (2004, section 3).

mod arrival_rate;
mod bucket;
mod local_credit;
mod ring;
mod tolerance;

pub use bucket::{CreditBucket, CreditGrant, CreditQuery};
pub use local_credit::{CreditDecision, LocalCredit};
pub use ring::HashRing;
pub use tolerance::{RateTolerance, Sharing};
