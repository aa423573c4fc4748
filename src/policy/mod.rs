//! Pure decisions: time and random numbers are passed in, nothing is sent.

pub mod admission;
pub mod crash;
pub mod front;
pub mod member;
pub mod once;
pub mod rate;
pub mod retry;
pub mod route;
