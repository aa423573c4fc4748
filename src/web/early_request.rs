//! A request that was begun before its turn.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::{Method, Request, Uri};
use tokio::task::{JoinError, JoinHandle};

use super::CallerAnswer;

/// A request that was begun before its turn; its work ends when it is dropped.
#[derive(Debug)]
pub(super) struct EarlyRequest {
    start: u64,
    method: Method,
    target: Uri,
    task: JoinHandle<CallerAnswer>,
}

impl EarlyRequest {
    /// Takes note of the work on the request whose head begins at `start`.
    pub(super) fn new(
        start: u64,
        (method, target): (Method, Uri),
        task: JoinHandle<CallerAnswer>,
    ) -> Self {
        Self {
            start,
            method,
            target,
            task,
        }
    }

    /// Tells whether this is the work on the request that begins at `start`.
    pub(super) fn matches<B>(&self, start: u64, request: &Request<B>) -> bool {
        self.start == start && self.method == *request.method() && self.target == *request.uri()
    }
}

impl Future for EarlyRequest {
    type Output = Result<CallerAnswer, JoinError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.task).poll(cx)
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}
