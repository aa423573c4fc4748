//! HTTP service for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use http::request::Parts;
use http::{HeaderMap, Request};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::Entry;
use super::arrival::Arrival;
use super::route_match::may_repeat;
use crate::error::Error;
use crate::policy::resource::ConnectionGroup;
use crate::tables::LineKind;
use crate::web::{
    AnswerFuture, Holder, HttpListener, ListenOptions, RequestHandler, UnsentAnswer, listen_within,
};

/// Serves callers over HTTP.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_callers(entry: Arc<Entry>) -> Result<HttpListener, Error> {
    let shared = &entry.context.shared;
    let address = shared.config.listen.callers;
    let options = ListenOptions {
        max_pipelined: shared.config.max_pipelined,
        ..ListenOptions::new(shared.resources.clone(), ConnectionGroup::Callers)
    };
    listen_within(address, options, CallerService(entry)).await
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
        if shared.log_limiter.try_take(LineKind::Refused) {
            let request = shared.protocol.request_id(&parts.headers);
            spdlog::info!("pipelined request started early", kv: { request });
        }
    }

    /// Starts a request, whose head comes with the account of its connection.
    fn start(
        &self,
        mut parts: Parts,
        body: Option<Incoming>,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> AnswerFuture {
        let holder = parts.extensions.remove::<Arc<Holder>>();
        let arrival = Arrival {
            parts,
            body,
            arrived_at,
            holder: holder.expect("the listener adds it to each request"),
        };
        // Boxed at once: the future is large and would be copied three times.
        Box::pin(Arc::clone(&self.0).handle(arrival, from.ip()))
    }
}

impl RequestHandler for CallerService {
    fn serve(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> AnswerFuture {
        let (parts, body) = request.into_parts();
        self.start(parts, Some(body), arrived_at, from)
    }

    fn start_early(
        &self,
        parts: Parts,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> Option<AnswerFuture> {
        if !self.may_start(&parts) {
            return None;
        }
        self.record_started(&parts);
        Some(self.start(parts, None, arrived_at, from))
    }

    fn request_id(&self, answer: &HeaderMap) -> Box<str> {
        self.0.context.shared.protocol.request_id(answer).into()
    }

    fn record_unsent(&self, answer: &UnsentAnswer, from: SocketAddr) {
        let shared = &self.0.context.shared;
        shared.metrics.count_unsent_answer();
        let may_log = shared.readiness.is_changing();
        if may_log && shared.may_log(LineKind::Dropped) {
            spdlog::warn!("answer not sent completely", kv: {
                request = &*answer.request,
                from = from.to_string().as_str(),
                status = answer.status.as_u16(),
                incomplete = answer.is_incomplete,
                decided_ms = answer.decided_at.elapsed().as_millis() as u64,
                stopping = shared.readiness.is_stopping()
            });
        }
    }
}
