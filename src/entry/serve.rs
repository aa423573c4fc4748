//! HTTP service for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::arrival::Arrival;
use super::route_match::may_repeat;
use crate::error::Error;
use crate::web::{Listening, Serve, Work, listen_ahead};

/// Serves callers over HTTP.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_callers(entry: Arc<Entry>) -> Result<Listening, Error> {
    let config = &entry.context.shared.config;
    let (address, ahead) = (config.listen.callers, config.ahead);
    listen_ahead(address, ahead, CallerService(entry)).await
}

/// Handles the requests of callers.
#[derive(Clone)]
struct CallerService(Arc<Entry>);

impl CallerService {
    /// Returns whether a pipelined request may start before earlier ones are
    /// answered. The caller sends it again if it is dropped without an answer, so
    /// it must be safe to repeat.
    fn may_start(&self, parts: &Parts) -> bool {
        let configuration = self.0.context.shared.current.get();
        let may_repeat = configuration.is_some_and(|current| may_repeat(parts, &current.estate));
        may_repeat && !self.0.is_closed()
    }

    /// Counts and logs a pipelined request that is started early.
    fn record_started(&self, parts: &Parts) {
        let shared = &self.0.context.shared;
        shared.metrics.count("begun_ahead");
        if shared.log_limiter.try_take() {
            let request = shared.protocol.request_id(&parts.headers);
            spdlog::info!("pipelined request started early", kv: { request });
        }
    }

    fn start(&self, arrival: Arrival, from: SocketAddr) -> Work {
        // Boxed at once: the future is large and would be copied three times.
        Box::pin(Arc::clone(&self.0).handle(arrival, from.ip()))
    }
}

impl Serve for CallerService {
    fn serve(&self, request: Request<Incoming>, arrived_at: Instant, from: SocketAddr) -> Work {
        let (parts, body) = request.into_parts();
        let body = Some(body);
        self.start(
            Arrival {
                parts,
                body,
                arrived_at,
            },
            from,
        )
    }

    fn begin(&self, parts: Parts, arrived_at: Instant, from: SocketAddr) -> Option<Work> {
        if !self.may_start(&parts) {
            return None;
        }
        self.record_started(&parts);
        let body = None;
        Some(self.start(
            Arrival {
                parts,
                body,
                arrived_at,
            },
            from,
        ))
    }
}
