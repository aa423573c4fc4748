//! Bodies of callers.

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::web::{Chunks, Cut, Payload, SMALL_BODY};

/// Largest body of a once call, in bytes; it is held whole.
const MAX_ONCE: usize = 1024 * 1024;
/// Largest body of any call, in bytes.
const MAX_BODY: u64 = 1024 * 1024 * 1024;

/// Why a body was not taken.
pub(super) enum BodyError {
    /// It is too large.
    TooLarge,
    /// It ended before its end.
    Cut,
}

/// Reads a body: whole if it is small or must be held, else as a stream.
pub(super) async fn receive(
    headers: &HeaderMap,
    body: Option<Incoming>,
    hold: bool,
) -> Result<Payload, BodyError> {
    let Some(mut body) = body else {
        return Ok(Payload::empty());
    };
    let length = content_length(headers);
    if length.is_some_and(|n| n > MAX_BODY) {
        return Err(BodyError::TooLarge);
    }
    let limit = if hold { MAX_ONCE } else { SMALL_BODY };
    let large = length.is_some_and(|n| n > limit as u64);
    if large && hold {
        return Err(BodyError::TooLarge);
    }
    // Grown by doubling it would hold up to twice its length.
    let known = length.filter(|_| !large).unwrap_or_default();
    let mut first = BytesMut::with_capacity(usize::try_from(known).unwrap_or_default());
    while !large && first.len() <= limit {
        match next(&mut body).await {
            None => return whole(first.freeze(), length),
            Some(Err(_)) => return Err(BodyError::Cut),
            Some(Ok(chunk)) => first.extend_from_slice(&chunk),
        }
    }
    if hold {
        return Err(BodyError::TooLarge);
    }
    let (sender, chunks) = Chunks::channel();
    tokio::spawn(pump(first.freeze(), body, length, sender));
    Ok(Payload::Stream { length, chunks })
}

/// Returns the next chunk of a body; trailers are passed over.
async fn next(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
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

fn whole(bytes: Bytes, length: Option<u64>) -> Result<Payload, BodyError> {
    match length {
        Some(length) if length != bytes.len() as u64 => Err(BodyError::Cut),
        _ => Ok(Payload::Whole(bytes)),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Passes a streamed body on as fast as it is taken.
async fn pump(
    first: Bytes,
    mut body: Incoming,
    length: Option<u64>,
    to: mpsc::Sender<Result<Bytes, Cut>>,
) {
    let mut passed = first.len() as u64;
    if !first.is_empty() && to.send(Ok(first)).await.is_err() {
        return;
    }
    while let Some(chunk) = next(&mut body).await {
        let Ok(chunk) = chunk else {
            let _ = to.send(Err(Cut)).await;
            return;
        };
        passed += chunk.len() as u64;
        if passed > MAX_BODY {
            let _ = to.send(Err(Cut)).await;
            return;
        }
        if !chunk.is_empty() && to.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
    let end = match length {
        Some(length) if length != passed => Err(Cut),
        _ => Ok(Bytes::new()),
    };
    let _ = to.send(end).await;
}
