//! Bodies of requests.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::policy::resource::{Full, Purpose, Side};
use crate::web::{
    Charge, ChunkSender, Chunks, Holder, IncompleteBody, MAX_QUEUED_BYTES, MAX_WHOLE_BODY, Payload,
    StreamClosed,
};

/// Maximum body size of a once call, which is buffered whole.
const MAX_ONCE_BODY_BYTES: usize = 1024 * 1024;
/// Maximum body size of any call.
const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

/// Why a body was refused.
pub(super) enum BodyError {
    /// The body is too large.
    TooLarge,
    /// The body ended early.
    Incomplete,
    /// There is no room to hold it.
    NoRoom,
}

impl From<Full> for BodyError {
    fn from(Full: Full) -> Self {
        Self::NoRoom
    }
}

/// The body of a request, as its connection receives it.
pub(super) struct RequestBody<'h> {
    /// `None` if no body can follow.
    pub(super) incoming: Option<Incoming>,
    /// The account of the connection.
    pub(super) holder: &'h Arc<Holder>,
}

/// A body with the memory that is held for it; that of a stream is counted by the stream.
pub(super) struct ChargedBody {
    pub(super) payload: Payload,
    pub(super) charge: Charge,
}

/// Reads a body: whole if it is small or must be buffered, else as a stream.
pub(super) async fn read_body(
    headers: &HeaderMap,
    RequestBody { incoming, holder }: RequestBody<'_>,
    must_buffer: bool,
) -> Result<ChargedBody, BodyError> {
    let mut charge = holder.charge(Purpose::Request);
    let Some(mut body) = incoming.filter(|body| !body.is_end_stream()) else {
        let payload = Payload::empty();
        return Ok(ChargedBody { payload, charge });
    };
    let length = content_length(headers);
    if length.is_some_and(|n| n > MAX_BODY_BYTES) {
        return Err(BodyError::TooLarge);
    }
    let limit = if must_buffer {
        MAX_ONCE_BODY_BYTES
    } else {
        MAX_WHOLE_BODY
    };
    let large = length.is_some_and(|n| n > limit as u64);
    if large && must_buffer {
        return Err(BodyError::TooLarge);
    }
    // Growth by doubling could allocate up to twice the length.
    let known = length.filter(|_| !large).unwrap_or_default();
    let mut buffered = BytesMut::with_capacity(usize::try_from(known).unwrap_or_default());
    while !large && buffered.len() <= limit {
        let Some(chunk) = next_in_time(&mut body, holder).await? else {
            holder.wait_for(Side::Own);
            let payload = check_length(buffered.freeze(), length)?;
            return Ok(ChargedBody { payload, charge });
        };
        buffered.extend_from_slice(&chunk);
        // Of what a length has allocated, only what was written takes memory.
        charge.grow_to(match length {
            Some(_) => buffered.len(),
            None => buffered.capacity(),
        })?;
    }
    if must_buffer {
        return Err(BodyError::TooLarge);
    }
    charge.grow_to(MAX_QUEUED_BYTES)?;
    let (sender, chunks) = Chunks::channel();
    let stream = BodyStream {
        body,
        length,
        holder: Arc::clone(holder),
        charge,
    };
    tokio::spawn(stream.forward(buffered.freeze(), sender));
    Ok(ChargedBody {
        payload: Payload::Stream { length, chunks },
        charge: holder.charge(Purpose::Request),
    })
}

/// Returns the next chunk of a body, unless its connection is evicted before.
async fn next_in_time(body: &mut Incoming, holder: &Holder) -> Result<Option<Bytes>, BodyError> {
    tokio::select! {
        biased;
        next = next_chunk(body) => next.transpose().map_err(|_| BodyError::Incomplete),
        () = holder.evicted() => Err(BodyError::NoRoom),
    }
}

/// Returns the next chunk of a body, skipping trailers.
async fn next_chunk(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Err(e) => return Some(Err(e)),
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
        }
    }
}

fn check_length(bytes: Bytes, length: Option<u64>) -> Result<Payload, BodyError> {
    match length {
        Some(length) if length != bytes.len() as u64 => Err(BodyError::Incomplete),
        _ => Ok(Payload::Whole(bytes)),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// A body that is forwarded while it arrives.
struct BodyStream {
    body: Incoming,
    length: Option<u64>,
    holder: Arc<Holder>,
    charge: Charge,
}

impl BodyStream {
    /// Forwards the body, of which `buffered` has arrived, as fast as the receiver reads
    /// it.
    async fn forward(mut self, buffered: Bytes, sender: ChunkSender) {
        let mut received_bytes = buffered.len() as u64;
        if !buffered.is_empty() {
            if self.send(&sender, buffered).await.is_err() {
                return;
            }
            self.charge.clear();
            if self.charge.grow_to(MAX_QUEUED_BYTES).is_err() {
                let _ = sender.send(Err(IncompleteBody)).await;
                return;
            }
        }
        loop {
            let chunk = match next_in_time(&mut self.body, &self.holder).await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(_) => {
                    let _ = sender.send(Err(IncompleteBody)).await;
                    return;
                }
            };
            received_bytes += chunk.len() as u64;
            if received_bytes > MAX_BODY_BYTES {
                let _ = sender.send(Err(IncompleteBody)).await;
                return;
            }
            if !chunk.is_empty() && self.send(&sender, chunk).await.is_err() {
                return;
            }
        }
        self.holder.wait_for(Side::Own);
        let end = match self.length {
            Some(length) if length != received_bytes => Err(IncompleteBody),
            _ => Ok(Bytes::new()),
        };
        let _ = sender.send(end).await;
    }

    /// Sends a chunk, for which the caller can't be held to account.
    async fn send(&self, sender: &ChunkSender, chunk: Bytes) -> Result<(), StreamClosed> {
        self.holder.wait_for(Side::Own);
        sender.send(Ok(chunk)).await?;
        self.holder.wait_for(Side::Remote);
        Ok(())
    }
}
