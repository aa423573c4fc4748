//! What may be done with a request, by what is known of its fingerprint.

use std::time::Duration;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was under way at one crash: a server runs few such requests at one
    /// time, so that the next crash leaves few suspects.
    Few,
    /// It was under way at more crashes: a server runs one such request at one
    /// time, so that the next crash tells whether it is the cause.
    Alone,
    /// No server runs it for this long.
    Held(Duration),
}
