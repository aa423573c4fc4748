//! A pipelined request that was started before earlier ones were answered.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use http::{Method, Request, Uri};
use tokio::task::{JoinError, JoinHandle};

use super::CallerAnswer;

/// A pipelined request that was started early; dropping it aborts its task.
#[derive(Debug)]
pub(super) struct EarlyRequest {
    start: u64,
    method: Method,
    target: Uri,
    task: JoinHandle<CallerAnswer>,
}

impl EarlyRequest {
    /// Wraps the task of the request whose head begins at byte `start`.
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

    /// Returns whether this is `request`, whose head begins at byte `start`.
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
