//! Requests as received.

use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

/// A request as received.
pub(super) struct Arrival {
    pub(super) parts: Parts,
    /// `None` if no body can follow.
    pub(super) body: Option<Incoming>,
    /// When the head was complete.
    pub(super) arrived_at: Instant,
}
