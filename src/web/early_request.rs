//! A pipelined request that was started before earlier ones were answered.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use std::sync::Arc;

use http::{Method, Request, Uri};
use http_body::Body;
use tokio::task::{JoinError, JoinHandle};

use super::{AnswerFuture, CallerAnswer, Charge, Holder, MAX_STREAMED_BYTES};
use crate::policy::resource::{Full, Purpose};

/// An answer that is held until its caller has read it.
#[derive(Debug)]
pub(super) struct ChargedAnswer {
    pub(super) answer: CallerAnswer,
    pub(super) charge: Charge,
}

/// Charges an answer to its connection; a streamed one for what is held of it at a time.
///
/// # Errors
///
/// Fails if there is no room for the answer.
pub(super) fn charge_answer(
    answer: CallerAnswer,
    holder: &Arc<Holder>,
) -> Result<ChargedAnswer, Full> {
    let mut charge = holder.charge(Purpose::Answer);
    let length = answer.body().size_hint().exact();
    let length = length.and_then(|length| usize::try_from(length).ok());
    charge.grow_to(length.unwrap_or(MAX_STREAMED_BYTES))?;
    Ok(ChargedAnswer { answer, charge })
}

/// A pipelined request that was started early; dropping it aborts its task.
#[derive(Debug)]
pub(super) struct EarlyRequest {
    start: u64,
    method: Method,
    target: Uri,
    task: JoinHandle<Result<ChargedAnswer, Full>>,
}

impl EarlyRequest {
    /// Starts the request whose head begins at byte `start`. Evicts a connection whose
    /// answers can't be held.
    pub(super) fn start(
        start: u64,
        (method, target): (Method, Uri),
        answer: AnswerFuture,
        holder: Arc<Holder>,
    ) -> Self {
        let task = tokio::spawn(async move {
            let charged = charge_answer(answer.await, &holder);
            if charged.is_err() {
                holder.evict();
            }
            charged
        });
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
    type Output = Result<Result<ChargedAnswer, Full>, JoinError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.task).poll(cx)
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}
