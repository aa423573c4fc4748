//! A connection to a server that drops answers to earlier requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, StatusCode};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::{MAX_BUFFER, MAX_HEADERS};

/// What the connection expects of the next answer.
#[derive(Debug, Default)]
struct Expectation {
    /// The id that it repeats; taken once the connection waits for the answer.
    id: Option<HeaderValue>,
    /// Whether the lengths of earlier answers can't be told from their heads.
    has_unknown_lengths: bool,
}

/// Tells a connection which answer to expect; clones are for the same connection.
#[derive(Clone, Debug, Default)]
pub(super) struct ExpectedAnswer(Arc<Mutex<Expectation>>);

impl ExpectedAnswer {
    /// Records that a request with this id is about to be sent. If it is a HEAD request
    /// (`is_head`), its answer has no body, whatever length it names, so later answers are
    /// no longer checked.
    pub(super) fn expect(&self, id: Option<HeaderValue>, is_head: bool) {
        let mut expected = self.0.lock();
        expected.id = id.filter(|_| !expected.has_unknown_lengths);
        expected.has_unknown_lengths |= is_head;
    }
}

/// What to do with the next bytes that arrive.
#[derive(Debug)]
enum Stage {
    /// They belong to the expected answer.
    Pass,
    /// They begin an answer, which may be to an earlier request.
    Head(HeaderValue),
    /// So many of them belong to an answer to an earlier request.
    Drop(u64, HeaderValue),
}

/// What the head of an answer says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadCheck {
    Incomplete,
    /// It may be the expected one.
    Expected,
    /// It is to another request; the lengths of its head and its body.
    Other(usize, u64),
}

/// A connection that drops answers with another id than that of the current request, which
/// a server may send late.
#[derive(Debug)]
pub(super) struct AnswerFilter {
    stream: TcpStream,
    id_header: HeaderName,
    expected: ExpectedAnswer,
    stage: Stage,
    /// Bytes that have arrived and are neither passed on nor dropped yet.
    buffer: BytesMut,
}

impl AnswerFilter {
    /// Wraps a connection on which answers repeat the header `id_header` of requests.
    pub(super) fn new(stream: TcpStream, id_header: HeaderName, expected: ExpectedAnswer) -> Self {
        Self {
            stream,
            id_header,
            expected,
            stage: Stage::Pass,
            buffer: BytesMut::new(),
        }
    }

    /// Moves on to the answer to a request that was sent since the last read.
    fn begin_answer(&mut self) {
        let Some(id) = self.expected.0.lock().id.take() else {
            return;
        };
        self.stage = match self.stage {
            Stage::Pass | Stage::Head(_) => Stage::Head(id),
            Stage::Drop(left, _) => Stage::Drop(left, id),
        };
    }

    /// Drops what is buffered of answers to earlier requests; returns whether the rest may
    /// be passed on.
    fn drop_others(&mut self) -> bool {
        loop {
            match &mut self.stage {
                Stage::Pass => return true,
                Stage::Drop(left, id) => {
                    let count = (*left).min(self.buffer.len() as u64);
                    self.buffer.advance(count as usize);
                    *left -= count;
                    if *left > 0 {
                        return false;
                    }
                    self.stage = Stage::Head(id.clone());
                }
                Stage::Head(id) => match check_head(&self.buffer, &self.id_header, id) {
                    HeadCheck::Incomplete if self.buffer.len() < MAX_BUFFER => return false,
                    HeadCheck::Incomplete | HeadCheck::Expected => self.stage = Stage::Pass,
                    HeadCheck::Other(head, body) => {
                        spdlog::debug!("answer to an earlier request dropped");
                        self.buffer.advance(head);
                        self.stage = Stage::Drop(body, id.clone());
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
fn check_head(bytes: &[u8], id_header: &HeaderName, expected: &HeaderValue) -> HeadCheck {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return HeadCheck::Incomplete,
        Err(_) => return HeadCheck::Expected,
    };
    let value = |name: &HeaderName| {
        let mut found = answer.headers.iter().filter(|header| name == header.name);
        found.next().map(|header| header.value)
    };
    let is_other = value(id_header).is_some_and(|id| id != expected.as_bytes());
    let status = answer.code.and_then(|code| StatusCode::from_u16(code).ok());
    let Some(status) = status.filter(|status| is_other && !status.is_informational()) else {
        return HeadCheck::Expected;
    };
    // These have no body, whatever length they name.
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return HeadCheck::Other(head, 0);
    }
    if value(&TRANSFER_ENCODING).is_some() {
        return HeadCheck::Expected;
    }
    let length = value(&CONTENT_LENGTH).and_then(|length| std::str::from_utf8(length).ok());
    match length.and_then(|length| length.trim().parse().ok()) {
        Some(body) => HeadCheck::Other(head, body),
        None => HeadCheck::Expected,
    }
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
            if this.drop_others() && !this.buffer.is_empty() {
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
