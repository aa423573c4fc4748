//! Handlers of callers' requests.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use super::CallerAnswer;

/// The answer to a request in progress; dropping it cancels the request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = CallerAnswer> + Send>>;

/// An answer that was decided but not sent completely to its caller.
#[derive(Clone, Debug)]
pub struct UnsentAnswer {
    /// The caller's id of the request; empty if the caller sent none, or if the answer
    /// was decided as a whole before a stop.
    pub request: Box<str>,
    /// The status.
    pub status: StatusCode,
    /// When the answer was decided.
    pub decided_at: Instant,
    /// Whether its body ended before it was complete.
    pub is_incomplete: bool,
}

/// Handles the requests of callers.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Handles a request whose head was complete at `arrived_at`.
    fn serve(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> AnswerFuture;

    /// Starts a pipelined safe request without a body before earlier ones are
    /// answered; `None` if it has to wait for them.
    ///
    /// The future is dropped if the connection ends before the answer is sent.
    fn start_early(
        &self,
        head: Parts,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> Option<AnswerFuture>;

    /// Returns the caller's id of the request that an answer is for, or an empty text.
    fn request_id(&self, _: &HeaderMap) -> Box<str> {
        Box::default()
    }

    /// Records that a connection ended before an answer was sent completely.
    fn record_unsent(&self, _: &UnsentAnswer, _: SocketAddr) {}
}

/// A function handles requests one after another.
impl<H, F> RequestHandler for H
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = CallerAnswer> + Send + 'static,
{
    fn serve(&self, request: Request<Incoming>, _: Instant, from: SocketAddr) -> AnswerFuture {
        // Boxed here, since the future is large and would be copied three times.
        Box::pin(self(request, from))
    }

    fn start_early(&self, _: Parts, _: Instant, _: SocketAddr) -> Option<AnswerFuture> {
        None
    }
}
