//! Decision logic without I/O: time and random numbers are passed in.

pub mod admission;
pub mod crash;
pub mod drain;
pub mod front;
pub mod member;
pub mod once;
pub mod rate;
pub mod resource;
pub mod retry;
pub mod route;
