//! Overload control layer for service call graphs.
//!
//! One daemon stands on every backend server VM. Its *entry* takes calls and
//! picks a backend server; its *guard* admits calls to the one backend server
//! of its VM. Decisions are in [`policy`] and perform no I/O.

#![deny(unsafe_code)]

pub mod call;
pub mod config;
pub mod daemon;
pub mod declare;
pub mod emulator;
pub mod entry;
pub mod error;
pub mod guard;
pub mod metrics;
pub mod model;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod store;
pub mod tables;
pub mod task;
pub mod web;
