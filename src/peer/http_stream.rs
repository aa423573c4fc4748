//! The subset of HTTP/1.1 that plain requests between daemons use.
//!
//! Both ends are daemons, which send a method, a path and a body of known length
//! or in chunks. A complete HTTP library needs two buffers of 8 KB and a task
//! per connection, and a fifth of the CPU time of a call.

use std::future::poll_fn;
use std::io;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

use super::call::MAX_MESSAGE_BYTES;
use super::http_head::{
    BodyLength, RequestHead, ResponseHead, invalid_data, parse_request, parse_response,
};
use super::message::PlainBody;
use crate::web::{Charge, Holder};

/// Maximum size of a head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Buffer space reserved for a read of a head or a chunk size; most messages
/// are shorter.
const READ_BYTES: usize = 4 * 1024;
/// Maximum length of the line with the size of a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 64;
const LINE_END: &[u8] = b"\r\n";
/// The last chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A connection, with the bytes read beyond the last message.
#[derive(Debug)]
pub(super) struct HttpStream {
    stream: TcpStream,
    buffer: BytesMut,
    /// The account of the connection, if the other end opened it.
    holder: Option<Arc<Holder>>,
}

impl HttpStream {
    /// Creates a stream on a connection from which nothing was read yet.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            holder: None,
        }
    }

    /// Sets the account that what moves on the connection is recorded with.
    pub(super) fn with_holder(self, holder: Arc<Holder>) -> Self {
        let holder = Some(holder);
        Self { holder, ..self }
    }

    fn record_moved(&self, bytes: usize) {
        if let Some(holder) = &self.holder {
            holder.record_moved(bytes);
        }
    }

    /// Returns the connection if nothing was read beyond the last message.
    pub(super) fn into_idle(self) -> Option<TcpStream> {
        self.buffer.is_empty().then_some(self.stream)
    }

    /// Waits until there is data to read, without allocating a buffer.
    pub(super) async fn wait_readable(&self) -> io::Result<()> {
        if self.buffer.is_empty() {
            poll_fn(|cx| self.stream.poll_read_ready(cx)).await?;
        }
        Ok(())
    }

    /// Waits until the other end closes the connection, or forever if it sends
    /// more data first.
    pub(super) async fn wait_closed(&self) {
        let mut next = [0];
        let next = poll_fn(|cx| self.stream.poll_peek(cx, &mut ReadBuf::new(&mut next)));
        if !self.buffer.is_empty() || matches!(next.await, Ok(1..)) {
            std::future::pending().await
        }
    }

    /// Frees the buffer if it is empty.
    pub(super) fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    async fn read_more(&mut self, capacity: usize) -> io::Result<()> {
        self.buffer.reserve(capacity);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.record_moved(count);
                Ok(())
            }
        }
    }

    /// Reads the head of a request. Returns `None` if the connection was closed
    /// before.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the head is invalid.
    pub(super) async fn read_request(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            if let Some((length, request)) = parse_request(&self.buffer)? {
                self.buffer.advance(length);
                return Ok(Some(request));
            }
            match self.read_more_head().await {
                Err(_) if self.buffer.is_empty() => return Ok(None),
                more => more?,
            }
        }
    }

    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the head is invalid.
    pub(super) async fn read_response(&mut self) -> io::Result<ResponseHead> {
        loop {
            if let Some((length, response)) = parse_response(&self.buffer)? {
                self.buffer.advance(length);
                return Ok(response);
            }
            self.read_more_head().await?;
        }
    }

    async fn read_more_head(&mut self) -> io::Result<()> {
        if self.buffer.len() >= MAX_HEAD_BYTES {
            return Err(invalid_data("the head is too long"));
        }
        self.read_more(READ_BYTES).await
    }

    /// Reads a complete body, and counts the memory that it takes. Returns `None` if
    /// there is no room for it, once it has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the body is too long.
    pub(super) async fn read_body(
        &mut self,
        length: BodyLength,
        charge: &mut Charge,
    ) -> io::Result<Option<Bytes>> {
        let length = match length {
            BodyLength::Known(length) if length <= MAX_MESSAGE_BYTES => length,
            BodyLength::Known(_) => return Err(invalid_data("the body is too long")),
            BodyLength::Chunked => return self.read_chunks(charge).await,
        };
        loop {
            let arrived = length.min(self.buffer.len());
            if charge.grow_to(arrived).is_err() {
                charge.clear();
                return self.skip(length).await.map(|()| None);
            }
            if arrived == length {
                return Ok(Some(self.buffer.split_to(length).freeze()));
            }
            self.read_more(length - arrived).await?;
        }
    }

    /// Reads `length` bytes and drops them.
    async fn skip(&mut self, mut length: usize) -> io::Result<()> {
        loop {
            let count = length.min(self.buffer.len());
            self.buffer.advance(count);
            length -= count;
            if length == 0 {
                return Ok(());
            }
            self.buffer = BytesMut::new();
            self.read_more(READ_BYTES).await?;
        }
    }

    async fn read_chunks(&mut self, charge: &mut Charge) -> io::Result<Option<Bytes>> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            whole.extend_from_slice(&chunk);
            if whole.len() > MAX_MESSAGE_BYTES {
                return Err(invalid_data("the body is too long"));
            }
            if charge.grow_to(whole.capacity()).is_err() {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
        }
        Ok(Some(whole.freeze()))
    }

    /// Reads the next chunk of a body. Returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body, or if the chunk is invalid.
    pub(super) async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        let length = loop {
            let parsed = httparse::parse_chunk_size(&self.buffer);
            match parsed.map_err(|_| invalid_data("invalid chunk size"))? {
                httparse::Status::Complete((line, length)) => {
                    self.buffer.advance(line);
                    break usize::try_from(length).unwrap_or(usize::MAX);
                }
                httparse::Status::Partial if self.buffer.len() > MAX_CHUNK_LINE_BYTES => {
                    return Err(invalid_data("invalid chunk size"));
                }
                httparse::Status::Partial => self.read_more(READ_BYTES).await?,
            }
        };
        if length > MAX_MESSAGE_BYTES {
            return Err(invalid_data("the chunk is too long"));
        }
        while self.buffer.len() < length + LINE_END.len() {
            let rest = length + LINE_END.len() - self.buffer.len();
            self.read_more(rest).await?;
        }
        let chunk = self.buffer.split_to(length).freeze();
        if !self.buffer.starts_with(LINE_END) {
            return Err(invalid_data("a chunk does not end with CRLF"));
        }
        self.buffer.advance(LINE_END.len());
        Ok((length > 0).then_some(chunk))
    }

    /// Sends a head and a body, which is a message and a payload.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails; the error tells whether any byte was sent.
    pub(super) async fn send(&mut self, head: &[u8], body: &PlainBody) -> Result<(), SendError> {
        let mut rest = Buf::chain(Buf::chain(head, &*body.message), &*body.payload);
        let length = rest.remaining();
        while rest.has_remaining() {
            let any_sent = rest.remaining() < length;
            let failed = |cause| SendError { any_sent, cause };
            match self.stream.write_buf(&mut rest).await {
                Ok(0) => return Err(failed(io::ErrorKind::WriteZero.into())),
                Ok(count) => self.record_moved(count),
                Err(e) => return Err(failed(e)),
            }
        }
        Ok(())
    }

    /// Sends a chunk. An empty one ends the body.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub(super) async fn send_chunk(&mut self, chunk: &[u8]) -> io::Result<()> {
        if chunk.is_empty() {
            return self.stream.write_all(LAST_CHUNK).await;
        }
        let line = format!("{:x}\r\n", chunk.len());
        let mut whole = Buf::chain(Buf::chain(line.as_bytes(), chunk), LINE_END);
        self.stream.write_all_buf(&mut whole).await?;
        self.record_moved(chunk.len());
        Ok(())
    }
}

/// An error while sending a message.
#[derive(Debug)]
pub(super) struct SendError {
    /// Whether any byte was sent.
    pub(super) any_sent: bool,
    pub(super) cause: io::Error,
}
