//! Bodies of answers that are dropped.

use bytes::{Buf, BytesMut};

use super::{MAX_BUFFER, MAX_HEADERS};

/// Maximum size of the line before a chunk, with its extensions, in bytes.
const MAX_SIZE_LINE: usize = 1024;
/// What ends the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// What is left to skip of the body of a late answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LateBody {
    /// So many bytes.
    Length(u64),
    /// A chunk that begins with its size, and those after it.
    ChunkSize,
    /// So many bytes of a chunk, and the chunks after it.
    ChunkData(u64),
    /// The end of a chunk, and the chunks after it.
    ChunkEnd,
    /// The trailers after the last chunk.
    Trailers,
}

/// Bytes that violate the chunked coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidBody;

impl LateBody {
    /// Skips what has arrived of the body; returns whether that was all of it.
    ///
    /// # Errors
    ///
    /// Fails at bytes that don't belong to such a body, which are left.
    pub(super) fn skip(&mut self, bytes: &mut BytesMut) -> Result<bool, InvalidBody> {
        loop {
            match self {
                Self::Length(left) => {
                    skip_up_to(left, bytes);
                    return Ok(*left == 0);
                }
                Self::ChunkData(left) => {
                    skip_up_to(left, bytes);
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = Self::ChunkEnd;
                }
                Self::ChunkEnd if bytes.starts_with(CHUNK_END) => {
                    bytes.advance(CHUNK_END.len());
                    *self = Self::ChunkSize;
                }
                Self::ChunkEnd if CHUNK_END.starts_with(bytes) => return Ok(false),
                Self::ChunkEnd => return Err(InvalidBody),
                Self::ChunkSize => {
                    let Some((line, size)) = chunk_size(bytes)? else {
                        return Ok(false);
                    };
                    bytes.advance(line);
                    *self = match size {
                        0 => Self::Trailers,
                        size => Self::ChunkData(size),
                    };
                }
                Self::Trailers => {
                    let Some(length) = trailers_length(bytes)? else {
                        return Ok(false);
                    };
                    bytes.advance(length);
                    return Ok(true);
                }
            }
        }
    }
}

/// Skips `left` bytes, or as many as there are.
fn skip_up_to(left: &mut u64, bytes: &mut BytesMut) {
    let count = (*left).min(bytes.len() as u64);
    bytes.advance(count as usize);
    *left -= count;
}

/// Returns the length of the line before a chunk and the size of the chunk, or `None` if
/// the line is incomplete.
fn chunk_size(bytes: &[u8]) -> Result<Option<(usize, u64)>, InvalidBody> {
    // The parser takes a line without a size as one of 0.
    if bytes
        .first()
        .is_some_and(|first| !first.is_ascii_hexdigit())
    {
        return Err(InvalidBody);
    }
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete(line)) => Ok(Some(line)),
        Ok(httparse::Status::Partial) if bytes.len() < MAX_SIZE_LINE => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(InvalidBody),
    }
}

/// Returns the length of the trailers and the line that ends them, or `None` if they are
/// incomplete.
fn trailers_length(bytes: &[u8]) -> Result<Option<usize>, InvalidBody> {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut trailers) {
        Ok(httparse::Status::Complete((length, _))) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if bytes.len() < MAX_BUFFER => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(InvalidBody),
    }
}
