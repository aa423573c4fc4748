//! A connection to a server that drops answers to earlier requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, StatusCode};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::late_body::{InvalidBody, LateBody};
use super::{MAX_BUFFER, MAX_HEADERS};

/// Final transfer coding of a body that names its own end.
const CHUNKED: &[u8] = b"chunked";

/// Maximum size of the interim answers before an answer, in bytes.
const MAX_INTERIM: usize = MAX_BUFFER;

/// The id that an answer repeats, if it does.
type AnswerId = Option<HeaderValue>;

/// Tells a connection which answer to expect: the id that it repeats, taken once the
/// connection waits for the answer; clones are for the same connection.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpectedAnswer(Arc<Mutex<Option<AnswerId>>>);

impl ExpectedAnswer {
    /// Records that a request with this id is about to be sent.
    pub(super) fn expect(&self, id: AnswerId) {
        *self.0.lock() = Some(id);
    }
}

/// What to do with the next bytes that arrive.
#[derive(Debug)]
enum Stage {
    /// They belong to the expected answer.
    Pass,
    /// They begin an answer, which may be to an earlier request.
    Head(AnswerId),
    /// They belong to the body of an answer to an earlier request.
    Skip(LateBody, AnswerId),
}

/// What the head of an answer says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadCheck {
    /// It has not arrived whole.
    Incomplete,
    /// It may be the expected one.
    Expected,
    /// It is an interim one, and the expected one is still to come; the length of its head.
    Interim(usize),
    /// It is to another request; the length of its head, and its body.
    Other(usize, LateBody),
}

/// A connection that drops interim answers, and answers with another id than that of the
/// current request, which a server may send late.
///
/// Their ends are told from their heads, so the connection must not be reused after a HEAD
/// request, whose late answer names a length without a body.
#[derive(Debug)]
pub(super) struct AnswerFilter {
    stream: TcpStream,
    /// Header that answers repeat, if they do.
    id_header: Option<HeaderName>,
    expected: ExpectedAnswer,
    /// Number of answers dropped on all connections to the server.
    dropped: Arc<AtomicU64>,
    stage: Stage,
    /// Bytes that have arrived and are neither passed on nor dropped yet.
    buffer: BytesMut,
    /// Size of the interim answers dropped before the expected one, in bytes.
    interim: usize,
}

impl AnswerFilter {
    /// Wraps a connection on which answers repeat the header `id_header` of requests, if
    /// any; adds those that it drops to `dropped`.
    pub(super) fn new(
        stream: TcpStream,
        id_header: Option<HeaderName>,
        expected: ExpectedAnswer,
        dropped: Arc<AtomicU64>,
    ) -> Self {
        Self {
            stream,
            id_header,
            expected,
            dropped,
            stage: Stage::Pass,
            buffer: BytesMut::new(),
            interim: 0,
        }
    }

    /// Moves on to the answer to a request that was sent since the last read.
    fn begin_answer(&mut self) {
        let Some(id) = self.expected.0.lock().take() else {
            return;
        };
        self.interim = 0;
        self.stage = match self.stage {
            Stage::Pass | Stage::Head(_) => Stage::Head(id),
            Stage::Skip(body, _) => Stage::Skip(body, id),
        };
    }

    /// Drops what is buffered of answers to earlier requests; returns whether the rest may
    /// be passed on.
    ///
    /// # Errors
    ///
    /// Fails if more interim answers arrived than may precede an answer.
    fn drop_others(&mut self) -> io::Result<bool> {
        loop {
            match &mut self.stage {
                Stage::Pass => return Ok(true),
                Stage::Skip(body, id) => match body.skip(&mut self.buffer) {
                    Ok(false) => return Ok(false),
                    // What follows an invalid body may be the expected answer.
                    Ok(true) | Err(InvalidBody) => self.stage = Stage::Head(id.clone()),
                },
                Stage::Head(id) => match check_head(&self.buffer, &self.id_header, id) {
                    HeadCheck::Incomplete if self.buffer.len() < MAX_BUFFER => return Ok(false),
                    HeadCheck::Incomplete | HeadCheck::Expected => self.stage = Stage::Pass,
                    HeadCheck::Interim(head) => {
                        self.buffer.advance(head);
                        self.interim += head;
                        if self.interim > MAX_INTERIM {
                            let cause = "too many interim answers";
                            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
                        }
                    }
                    HeadCheck::Other(head, body) => {
                        self.dropped.fetch_add(1, Ordering::Relaxed);
                        self.buffer.advance(head);
                        self.stage = Stage::Skip(body, id.clone());
                    }
                },
            }
        }
    }

    fn pass_buffered(&mut self, buf: &mut ReadBuf<'_>) {
        let count = self.buffer.len().min(buf.remaining());
        buf.put_slice(&self.buffer.split_to(count));
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }
}

/// Compares the id in the head of an answer with the expected one.
///
/// An answer without an id, or whose end isn't known from its head, counts as expected.
fn check_head(bytes: &[u8], id_header: &Option<HeaderName>, expected: &AnswerId) -> HeadCheck {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return HeadCheck::Incomplete,
        Err(_) => return HeadCheck::Expected,
    };
    let is_other = id_header
        .as_ref()
        .zip(expected.as_ref())
        .is_some_and(|(name, expected)| {
            let id = answer.headers.iter().find(|header| name == header.name);
            id.is_some_and(|id| id.value != expected.as_bytes())
        });
    let status = answer.code.and_then(|code| StatusCode::from_u16(code).ok());
    match status {
        Some(StatusCode::SWITCHING_PROTOCOLS) | None => HeadCheck::Expected,
        // Interim answers are not forwarded.
        Some(status) if status.is_informational() => HeadCheck::Interim(head),
        Some(status) if is_other => match late_body(&answer, status) {
            Some(body) => HeadCheck::Other(head, body),
            None => HeadCheck::Expected,
        },
        Some(_) => HeadCheck::Expected,
    }
}

/// Returns the body of an answer, or `None` if its end isn't known from the head.
fn late_body(answer: &httparse::Response<'_, '_>, status: StatusCode) -> Option<LateBody> {
    // These have no body, whatever length they name.
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Some(LateBody::Length(0));
    }
    let mut headers = answer.headers.iter();
    if let Some(codings) = headers.rfind(|header| TRANSFER_ENCODING == header.name) {
        let last = codings.value.rsplit(|byte| *byte == b',').next()?;
        let is_chunked = last.trim_ascii().eq_ignore_ascii_case(CHUNKED);
        return (is_chunked && answer.version == Some(1)).then_some(LateBody::ChunkSize);
    }
    let headers = answer.headers.iter();
    let lengths = headers.filter(|header| CONTENT_LENGTH == header.name);
    let mut lengths = lengths.map(|header| header.value.trim_ascii());
    let length = lengths.next()?;
    let is_valid = length.iter().all(u8::is_ascii_digit) && lengths.all(|other| other == length);
    let length = std::str::from_utf8(length).ok().filter(|_| is_valid)?;
    length.parse().ok().map(LateBody::Length)
}

impl AsyncRead for AnswerFilter {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.begin_answer();
        loop {
            if this.drop_others()? && !this.buffer.is_empty() {
                this.pass_buffered(buf);
                return Poll::Ready(Ok(()));
            }
            let before = buf.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
            let arrived = &buf.filled()[before..];
            if matches!(this.stage, Stage::Pass) {
                return Poll::Ready(Ok(()));
            }
            if arrived.is_empty() {
                // The connection has ended, so nothing follows what is buffered.
                if matches!(this.stage, Stage::Skip(..)) {
                    this.buffer.clear();
                }
                this.stage = Stage::Pass;
                this.pass_buffered(buf);
                return Poll::Ready(Ok(()));
            }
            if let Stage::Head(id) = &this.stage
                && this.buffer.is_empty()
                && check_head(arrived, &this.id_header, id) == HeadCheck::Expected
            {
                this.stage = Stage::Pass;
                return Poll::Ready(Ok(()));
            }
            this.buffer.extend_from_slice(arrived);
            buf.set_filled(before);
        }
    }
}

impl AsyncWrite for AnswerFilter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
