//! What admission decides.

use tokio::time::Instant;

use super::{CallToken, Shed};

/// What is done with a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It starts at once.
    Start,
    /// It waits until then at the longest; an [`Event`] will tell its end.
    Wait(Instant),
    /// It is shed at once.
    Shed(Shed),
}

/// What became of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It starts now.
    Start(CallToken),
    /// It is shed.
    Shed(CallToken, Shed),
}
