//! Plain requests to one daemon.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::sync::mpsc;

use super::call::{CONNECT, PATH};
use super::end::End;
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::heads::Length;
use super::lines::{Failed, Lines};
use super::message::{join, take};
use crate::web::{Chunks, Cut, Dial, Payload};

/// How long sent bytes may go without an acknowledgement of the other VM; its
/// daemon may pause, its network stack does not.
const UNACKNOWLEDGED: Duration = Duration::from_millis(500);

/// Makes plain requests to one daemon.
#[derive(Clone, Debug)]
pub(super) struct PlainClient {
    lines: Arc<Lines>,
}

impl PlainClient {
    /// Makes a client of the daemon at `address` whose connections go out from
    /// `own`.
    pub(super) fn new(address: SocketAddr, own: IpAddr) -> Self {
        let dial = Dial {
            address,
            own: Some(own),
            timeout: CONNECT,
            unacknowledged: Some(UNACKNOWLEDGED),
        };
        Self {
            lines: Arc::new(Lines::new(dial)),
        }
    }

    /// Sends a message and reads the one that answers it.
    pub(super) async fn ask<A: prost::Message + Default>(
        &self,
        path: &'static str,
        message: &impl prost::Message,
    ) -> Result<A, AskError> {
        let failed = |cause: &dyn std::fmt::Display| AskError::Failed(cause.to_string().into());
        let request = join(message, &[]);
        let answer = self.lines.request(path, &request).await;
        let (answer, mut end) = answer.map_err(|e| AskError::Failed(e.cause))?;
        let body = end.read_body(answer.length).await;
        let mut body = body.map_err(|e| failed(&e))?;
        if answer.keep {
            self.lines.put_back(end);
        }
        if answer.status == StatusCode::NOT_FOUND {
            return Err(AskError::Unknown);
        }
        take(&mut body).map_err(|e| failed(&e))
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn trim(&self) {
        self.lines.trim();
    }

    /// Sends a call and reads its answer: whole if its length is known, else up
    /// to its message.
    pub(super) async fn exchange(
        self,
        call: Bytes,
    ) -> Result<(Option<AnswerPart>, Payload), Failed> {
        let (answer, mut end) = self.lines.request(PATH, &call).await?;
        drop(call);
        if answer.length == Length::Chunked {
            return streamed(end).await;
        }
        let whole = end.read_body(answer.length).await;
        let mut whole = whole.map_err(|e| Failed::lost(&e))?;
        if answer.keep {
            self.lines.put_back(end);
        }
        let frame: wire::AnswerFrame = take(&mut whole).map_err(|e| Failed::lost(&e))?;
        Ok((frame.frame, Payload::Whole(whole)))
    }
}

/// Why a question has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AskError {
    /// The other daemon knows no such question.
    Unknown,
    /// It did not answer, or not in the right words.
    Failed(Box<str>),
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown => f.write_str("the other daemon knows no such question"),
            Self::Failed(cause) => f.write_str(cause),
        }
    }
}

/// Reads the message of an answer that comes in chunks, whose connection ends
/// with it.
async fn streamed(mut end: End) -> Result<(Option<AnswerPart>, Payload), Failed> {
    let first = end.next_chunk().await.map_err(|e| Failed::lost(&e))?;
    let mut first = first.unwrap_or_default();
    let frame: wire::AnswerFrame = take(&mut first).map_err(|e| Failed::lost(&e))?;
    let (sender, chunks) = Chunks::channel();
    tokio::spawn(pump_in(end, first, sender));
    let length = None;
    Ok((frame.frame, Payload::Stream { length, chunks }))
}

/// Takes a streamed answer in; the end of the chunks says that it is whole.
async fn pump_in(mut end: End, first: Bytes, to: mpsc::Sender<Result<Bytes, Cut>>) {
    if !first.is_empty() && to.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let next = tokio::select! {
            next = end.next_chunk() => next,
            () = to.closed() => return,
        };
        let item = next.map(Option::unwrap_or_default).map_err(|_| Cut);
        let last = !matches!(&item, Ok(chunk) if !chunk.is_empty());
        if to.send(item).await.is_err() || last {
            return;
        }
    }
}
