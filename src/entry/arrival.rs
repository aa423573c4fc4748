//! Requests as received.

use std::sync::Arc;

use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::web::Holder;

/// A request as received.
pub(super) struct Arrival {
    pub(super) parts: Parts,
    /// `None` if no body can follow.
    pub(super) body: Option<Incoming>,
    /// When the head was complete.
    pub(super) arrived_at: Instant,
    /// The account of its connection.
    pub(super) holder: Arc<Holder>,
}
