//! Overload control layer for service call graphs.
//!
//! One daemon runs on every backend server VM. Its *entry* accepts requests from callers
//! and selects a backend server; its *guard* admits calls to the backend server of its
//! own VM. The modules in [`policy`] make the decisions and perform no I/O.

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
