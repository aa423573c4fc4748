//! Bodies of calls and answers, whole or streamed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Maximum size of a body that is held whole, in bytes; larger ones are streamed
/// and can't be retried at another server. Users' uploads have up to 360 KB.
pub const MAX_WHOLE_BODY: usize = 512 * 1024;
/// Maximum number of chunks queued between the ends of a stream.
const MAX_QUEUED_CHUNKS: usize = 8;
/// Maximum size of the queued chunks, in bytes.
pub const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// What is held of a body that is streamed between daemons, in bytes: the queued chunks,
/// and what their connection has received of it.
pub const MAX_STREAMED_BYTES: usize = MAX_QUEUED_BYTES + MAX_WHOLE_BODY;
/// Maximum size of a queued chunk, in bytes; larger ones are split.
const MAX_CHUNK: usize = 64 * 1024;

/// A streamed body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl std::fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body ended before its end")
    }
}

impl std::error::Error for IncompleteBody {}

/// A chunk in the queue of a stream, with its share of the queue.
type QueuedChunk = (Result<Bytes, IncompleteBody>, OwnedSemaphorePermit);

/// The receiving end of a stream is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamClosed;

/// The sending end of a streamed body. An empty chunk ends the body.
#[derive(Clone, Debug)]
pub struct ChunkSender {
    sender: mpsc::Sender<QueuedChunk>,
    /// Bytes that may still be queued.
    room: Arc<Semaphore>,
}

impl ChunkSender {
    /// Sends a chunk once there is room for it.
    ///
    /// # Errors
    ///
    /// Fails if the receiving end is gone.
    pub async fn send(&self, chunk: Result<Bytes, IncompleteBody>) -> Result<(), StreamClosed> {
        match chunk {
            Ok(large) if large.len() > MAX_CHUNK => {
                for part in large.chunks(MAX_CHUNK) {
                    // Copied, since a slice would keep all of the chunk in memory.
                    self.send_part(Ok(Bytes::copy_from_slice(part))).await?;
                }
                Ok(())
            }
            chunk => self.send_part(chunk).await,
        }
    }

    async fn send_part(&self, part: Result<Bytes, IncompleteBody>) -> Result<(), StreamClosed> {
        let length = part.as_ref().map_or(0, Bytes::len);
        let room = Arc::clone(&self.room).acquire_many_owned(length as u32);
        let permit = tokio::select! {
            permit = room => permit.map_err(|_| StreamClosed)?,
            () = self.sender.closed() => return Err(StreamClosed),
        };
        let sent = self.sender.send((part, permit)).await;
        sent.map_err(|_| StreamClosed)
    }

    /// Waits until the receiving end is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// The receiving end of a streamed body, with backpressure.
///
/// The stream ends after the last chunk, or with [`IncompleteBody`].
#[derive(Debug)]
pub struct Chunks {
    receiver: mpsc::Receiver<QueuedChunk>,
    is_done: bool,
}

impl Chunks {
    /// Creates a stream and its sending end.
    pub fn channel() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let room = Arc::new(Semaphore::new(MAX_QUEUED_BYTES));
        let is_done = false;
        (ChunkSender { sender, room }, Self { receiver, is_done })
    }

    /// Waits for the next chunk.
    pub async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        std::future::poll_fn(|cx| Pin::new(&mut *self).poll_next(cx)).await
    }
}

impl Stream for Chunks {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let item = std::task::ready!(self.receiver.poll_recv(cx)).map(|(item, _)| item);
        // An empty chunk marks the end, which distinguishes a sender that
        // finished from one that was dropped early.
        let item = match item {
            Some(Ok(chunk)) if chunk.is_empty() => None,
            Some(item) => Some(item),
            None => Some(Err(IncompleteBody)),
        };
        self.is_done = !matches!(item, Some(Ok(_)));
        Poll::Ready(item)
    }
}

/// The body of a call or an answer.
#[derive(Debug)]
pub enum Payload {
    /// The whole body.
    Whole(Bytes),
    /// A stream of chunks.
    Stream {
        /// The length in bytes, if it is known in advance.
        length: Option<u64>,
        /// The chunks, in order.
        chunks: Chunks,
    },
}

impl Payload {
    /// Creates an empty body.
    pub const fn empty() -> Self {
        Self::Whole(Bytes::new())
    }
}

/// Reads a whole body of at most `limit` bytes; `None` if it is longer.
///
/// # Errors
///
/// Fails if the body is incomplete.
pub async fn collect(payload: Payload, limit: usize) -> Result<Option<Bytes>, IncompleteBody> {
    let mut chunks = match payload {
        Payload::Whole(bytes) if bytes.len() <= limit => return Ok(Some(bytes)),
        Payload::Whole(_) => return Ok(None),
        Payload::Stream { chunks, .. } => chunks,
    };
    let mut whole = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        whole.extend_from_slice(&chunk?);
        if whole.len() > limit {
            return Ok(None);
        }
    }
    Ok(Some(whole.freeze()))
}
