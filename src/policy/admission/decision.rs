//! The decisions of admission.

use tokio::time::Instant;

use super::{CallToken, Shed};

/// The decision on an arriving call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts at once.
    Start,
    /// It is queued until then at the longest; an [`Event`] reports how its wait ends.
    Wait(Instant),
    /// It is shed at once.
    Shed(Shed),
}

/// How the wait of a queued call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It starts now.
    Start(CallToken),
    /// It is shed.
    Shed(CallToken, Shed),
}
