//! What may be done with a request, by what is known of its fingerprint.

use std::time::Duration;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRestriction {
    /// Nothing speaks against it.
    Unrestricted,
    /// It was under way at one crash: a server runs few such requests at one
    /// time, so that the next crash leaves few suspects.
    FewAtOnce,
    /// It was under way at more crashes: a server runs one such request at one
    /// time, so that the next crash tells whether it is the cause.
    OneAtOnce,
    /// No server runs it for this long.
    Quarantined(Duration),
}
