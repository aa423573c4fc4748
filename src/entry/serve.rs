//! Serving of callers by HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::arrival::Arrival;
use super::place::may_repeat;
use crate::error::Error;
use crate::web::{Listening, Serve, Work, listen_ahead};

/// Serves callers by HTTP.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_callers(entry: Arc<Entry>) -> Result<Listening, Error> {
    let config = &entry.context.shared.config;
    let (address, ahead) = (config.listen.callers, config.ahead);
    listen_ahead(address, ahead, Callers(entry)).await
}

/// The requests of callers.
#[derive(Clone)]
struct Callers(Arc<Entry>);

impl Callers {
    /// Tells whether a request may be begun before those in front of it are
    /// answered: one that is dropped unanswered is sent again.
    fn may_begin(&self, parts: &Parts) -> bool {
        let in_force = self.0.context.shared.current.get();
        let may_repeat = in_force.is_some_and(|rules| may_repeat(parts, &rules.estate));
        may_repeat && !self.0.is_closed()
    }

    /// Counts a request that is begun, and logs it.
    fn note_begun(&self, parts: &Parts) {
        let shared = &self.0.context.shared;
        shared.metrics.count("begun_ahead");
        if shared.decisions.may_log() {
            let request = shared.protocol.request_id(&parts.headers);
            spdlog::info!("request begun ahead", kv: { request });
        }
    }

    fn work(&self, arrival: Arrival, from: SocketAddr) -> Work {
        // Put on the heap at once: it is large, and would be copied thrice.
        Box::pin(Arc::clone(&self.0).handle(arrival, from.ip()))
    }
}

impl Serve for Callers {
    fn serve(&self, request: Request<Incoming>, came: Instant, from: SocketAddr) -> Work {
        let (parts, body) = request.into_parts();
        let body = Some(body);
        self.work(Arrival { parts, body, came }, from)
    }

    fn begin(&self, parts: Parts, came: Instant, from: SocketAddr) -> Option<Work> {
        if !self.may_begin(&parts) {
            return None;
        }
        self.note_begun(&parts);
        let body = None;
        Some(self.work(Arrival { parts, body, came }, from))
    }
}
