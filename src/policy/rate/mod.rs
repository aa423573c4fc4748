//! Rate limits of workspaces, enforced over all daemons together.
//!
//! Each limited workspace has one coordinator, a daemon found on a [`HashRing`]
//! of the members, whose [`CreditBucket`] fills at the workspace's rate. Daemons
//! that admit its requests get credit from there in advance and keep it as
//! [`LocalCredit`]. Credit is deducted from the bucket before it is granted, and
//! a lost grant is not restored. So daemons together admit no more requests than
//! there is credit for, and a workspace whose callers are all on one VM has its
//! whole rate there.
//!
//! A daemon that cannot reach the coordinator continues at the share of the rate
//! that it was last granted, which the coordinator reserves for it. Daemons that cannot
//! reach it together have a coordinator of their own after some seconds, which divides
//! the shares that they bring. The escrow of
//! credit follows stores of replicated counters (O'Neil, "The Escrow
//! Transactional Method", 1986). Choosing a coordinator by hash, and its takeover
//! after a failure, follow distributed hash tables, as in the location mechanism
//! of Rilling and Morin (2004, section 3).

mod arrival_rate;
mod bucket;
mod local_credit;
mod ring;
mod tolerance;

pub use bucket::{CreditBucket, CreditGrant, CreditQuery, PARTITION_TIMEOUT, Standing};
pub use local_credit::{CreditDecision, LocalCredit};
pub use ring::HashRing;
pub use tolerance::{RateTolerance, Sharing};
