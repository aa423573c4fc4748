//! The body of an answer on a connection with pipelining.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use super::pipeline::Pipeline;
use super::{CallerBody, IncompleteBody};

/// The body of an answer; dropping it lets the server read the next request.
#[derive(Debug)]
pub(super) struct PipelinedBody {
    body: CallerBody,
    pipeline: Arc<Mutex<Pipeline>>,
}

impl PipelinedBody {
    /// Wraps the body of the answer to the current request.
    pub(super) fn new(body: CallerBody, pipeline: Arc<Mutex<Pipeline>>) -> Self {
        Self { body, pipeline }
    }
}

impl Body for PipelinedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.pipeline.lock().record_incomplete();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PipelinedBody {
    fn drop(&mut self) {
        self.pipeline.lock().record_answer();
    }
}
