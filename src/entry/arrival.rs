//! A request as it arrived.

use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

/// A request as it arrived.
pub(super) struct Arrival {
    pub(super) parts: Parts,
    /// Left out where none can follow.
    pub(super) body: Option<Incoming>,
    /// When its head had come.
    pub(super) arrived_at: Instant,
}
