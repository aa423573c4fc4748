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
pub type Work = Pin<Box<dyn Future<Output = CallerAnswer> + Send>>;

/// Serves the requests of callers.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Serves a request whose head had come at `came`.
    fn serve(&self, request: Request<Incoming>, came: Instant, from: SocketAddr) -> Work;

    /// Begins a safe request without a body before its turn; `None` if it has
    /// to wait.
    ///
    /// Its work is dropped without an answer if the connection ends before.
    fn begin(&self, head: Parts, came: Instant, from: SocketAddr) -> Option<Work>;
}

/// A function serves each request in its turn.
impl<H, F> Serve for H
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = CallerAnswer> + Send + 'static,
{
    fn serve(&self, request: Request<Incoming>, _: Instant, from: SocketAddr) -> Work {
        // Put on the heap at once: it is large, and would be copied thrice.
        Box::pin(self(request, from))
    }

    fn begin(&self, _: Parts, _: Instant, _: SocketAddr) -> Option<Work> {
        None
    }
}
