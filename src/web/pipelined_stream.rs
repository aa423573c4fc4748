//! A connection whose pipelined requests are read and started early.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::RequestHandler;
use super::caller_connection::{CallerConnection, set_reset};
use super::early_request::EarlyRequest;
use super::pipeline::Pipeline;
use crate::policy::resource::{Full, Side};

/// The stream that the HTTP server reads, which passes it one request at a time and
/// buffers pipelined ones.
pub(super) struct PipelinedStream<S> {
    stream: TcpStream,
    connection: CallerConnection<S>,
    /// Whether the connection is reset when it closes.
    resets: bool,
}

impl<S: RequestHandler> PipelinedStream<S> {
    /// Wraps `stream`.
    pub(super) const fn new(stream: TcpStream, connection: CallerConnection<S>) -> Self {
        Self {
            stream,
            connection,
            resets: false,
        }
    }

    /// Returns the underlying stream.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Makes sure that the end of the connection isn't taken for the end of the answer,
    /// also if this process is killed.
    fn prepare_end(&mut self) {
        if !self.resets && self.connection.ends_answer.load(Ordering::Relaxed) {
            self.resets = true;
            set_reset(&self.stream, true);
        }
    }

    /// Starts the buffered requests that may run now.
    fn start_early(&self, pipeline: &mut Pipeline) {
        let CallerConnection {
            from,
            handler,
            holder,
            ..
        } = &self.connection;
        while let Some(mut next) = pipeline.next_early() {
            let request_line = (next.head.method.clone(), next.head.uri.clone());
            next.head.extensions.insert(Arc::clone(holder));
            let answer = handler.start_early(next.head, next.arrived_at, *from);
            let early = answer.map(|answer| {
                EarlyRequest::start(next.start, request_line, answer, Arc::clone(holder))
            });
            pipeline.record_early(next.start, early);
        }
    }

    /// Reads pipelined requests while the current one is in progress; `buf` stays
    /// unchanged unless the connection ends.
    fn read_ahead(
        &mut self,
        pipeline: &mut Pipeline,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        self.start_early(pipeline);
        while pipeline.has_room() {
            let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) else {
                break;
            };
            if read.is_err() || buf.filled().len() == before {
                pipeline.end_connection();
                return Poll::Ready(read);
            }
            if pipeline
                .push(&buf.filled()[before..], Instant::now())
                .is_err()
            {
                self.connection.holder.evict();
            }
            buf.set_filled(before);
            self.start_early(pipeline);
        }
        pipeline.set_waker(cx);
        Poll::Pending
    }
}

/// No field is structurally pinned.
impl<S> Unpin for PipelinedStream<S> {}

impl<S: RequestHandler> AsyncRead for PipelinedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let shared = Arc::clone(&this.connection.pipeline);
        let mut pipeline = shared.lock();
        if pipeline.is_idle() {
            // A body may end after its answer, when this daemon seems to be next.
            this.connection.holder.wait_for(Side::Remote);
        }
        if pipeline.reads_ahead() {
            return this.read_ahead(&mut pipeline, cx, buf);
        }
        if pipeline.has_buffered() {
            buf.put_slice(&pipeline.take(buf.remaining()));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        let holder = &this.connection.holder;
        holder.record_moved(buf.filled().len() - before);
        match pipeline.consume(&buf.filled()[before..], Instant::now()) {
            Ok(count) => buf.set_filled(before + count),
            Err(Full) => {
                holder.evict();
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: RequestHandler> AsyncWrite for PipelinedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.prepare_end();
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.connection.holder.record_moved(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.prepare_end();
        let written = ready!(Pin::new(&mut this.stream).poll_write_vectored(cx, bufs))?;
        this.connection.holder.record_moved(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The server flushes once nothing is left in its own buffer.
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.connection.pipeline.lock().record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
