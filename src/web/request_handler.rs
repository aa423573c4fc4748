//! What serves the requests of callers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use http::Request;
use http::request::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::CallerAnswer;

/// The work on a request, which ends when it is dropped.
pub type AnswerFuture = Pin<Box<dyn Future<Output = CallerAnswer> + Send>>;

/// Serves the requests of callers.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Serves a request whose head had come at `came`.
    fn serve(
        &self,
        request: Request<Incoming>,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> AnswerFuture;

    /// Begins a safe request without a body before its turn; `None` if it has
    /// to wait.
    ///
    /// Its work is dropped without an answer if the connection ends before.
    fn start_early(
        &self,
        head: Parts,
        arrived_at: Instant,
        from: SocketAddr,
    ) -> Option<AnswerFuture>;
}

/// A function serves each request in its turn.
impl<H, F> RequestHandler for H
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = CallerAnswer> + Send + 'static,
{
    fn serve(&self, request: Request<Incoming>, _: Instant, from: SocketAddr) -> AnswerFuture {
        // Put on the heap at once: it is large, and would be copied thrice.
        Box::pin(self(request, from))
    }

    fn start_early(&self, _: Parts, _: Instant, _: SocketAddr) -> Option<AnswerFuture> {
        None
    }
}
