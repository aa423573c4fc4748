//! Bodies of requests.

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::web::{ChunkSender, Chunks, IncompleteBody, MAX_WHOLE_BODY, Payload};

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
}

/// Reads a body: whole if it is small or must be buffered, else as a stream.
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: Option<Incoming>,
    must_buffer: bool,
) -> Result<Payload, BodyError> {
    let Some(mut body) = body else {
        return Ok(Payload::empty());
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
        match next_chunk(&mut body).await {
            None => return check_length(buffered.freeze(), length),
            Some(Err(_)) => return Err(BodyError::Incomplete),
            Some(Ok(chunk)) => buffered.extend_from_slice(&chunk),
        }
    }
    if must_buffer {
        return Err(BodyError::TooLarge);
    }
    let (sender, chunks) = Chunks::channel();
    tokio::spawn(forward_stream(buffered.freeze(), body, length, sender));
    Ok(Payload::Stream { length, chunks })
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

/// Forwards a streamed body as fast as the receiver reads it.
async fn forward_stream(
    buffered: Bytes,
    mut body: Incoming,
    length: Option<u64>,
    sender: ChunkSender,
) {
    let mut received_bytes = buffered.len() as u64;
    if !buffered.is_empty() && sender.send(Ok(buffered)).await.is_err() {
        return;
    }
    while let Some(chunk) = next_chunk(&mut body).await {
        let Ok(chunk) = chunk else {
            let _ = sender.send(Err(IncompleteBody)).await;
            return;
        };
        received_bytes += chunk.len() as u64;
        if received_bytes > MAX_BODY_BYTES {
            let _ = sender.send(Err(IncompleteBody)).await;
            return;
        }
        if !chunk.is_empty() && sender.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
    let end = match length {
        Some(length) if length != received_bytes => Err(IncompleteBody),
        _ => Ok(Bytes::new()),
    };
    let _ = sender.send(end).await;
}
