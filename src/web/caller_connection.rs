//! One connection of a caller.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinError;
use tokio::time::Instant;

use super::early_request::{ChargedAnswer, EarlyRequest, charge_answer};
use super::pipeline::Pipeline;
use super::pipelined_body::PipelinedBody;
use super::pipelined_stream::PipelinedStream;
use super::{
    AnswerFuture, CallerAnswer, Holder, LINGER_TIMEOUT, MAX_HEAD, MAX_HEADERS, RequestHandler,
    UnsentAnswer, caller_text,
};
use crate::policy::resource::{Full, Side};

/// Bytes of a header line besides name and value.
const HEADER_LINE_OVERHEAD: usize = 4;
/// Time after which a connection is closed that is idle or whose next head is
/// incomplete. Longer than callers keep idle connections, so that a request rarely
/// arrives while the connection closes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Source of the answer to a request.
enum AnswerSource {
    HeadTooLarge,
    Early(EarlyRequest),
    Handler(AnswerFuture),
}

/// Why a request gets no answer.
#[derive(Debug)]
pub(super) enum NoAnswer {
    /// Its handler panicked.
    Panicked(JoinError),
    /// There is no room to hold the answer until the caller reads it.
    NoRoom,
}

impl From<JoinError> for NoAnswer {
    fn from(error: JoinError) -> Self {
        Self::Panicked(error)
    }
}

impl From<Full> for NoAnswer {
    fn from(Full: Full) -> Self {
        Self::NoRoom
    }
}

impl fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Panicked(cause) => cause.fmt(f),
            Self::NoRoom => f.write_str("no room for the answer"),
        }
    }
}

impl std::error::Error for NoAnswer {}

/// One connection of a caller.
#[derive(Clone)]
pub(super) struct CallerConnection<S> {
    pub(super) from: SocketAddr,
    pub(super) handler: S,
    pub(super) pipeline: Arc<Mutex<Pipeline>>,
    /// Becomes true when connections are to close after their next answer.
    pub(super) closing: watch::Receiver<bool>,
    /// The account of what is held for the connection.
    pub(super) holder: Arc<Holder>,
    /// Whether the answer ends with the connection, which must be reset if it is cut.
    pub(super) ends_answer: Arc<AtomicBool>,
}

impl<S: RequestHandler> CallerConnection<S> {
    /// Serves the caller until either side closes the connection.
    pub(super) async fn run(self, stream: TcpStream) {
        if let Err(e) = stream.set_nodelay(true) {
            spdlog::debug!("cannot set nodelay", kv: { cause = e.to_string().as_str() });
        }
        // Dropped after the connection, also if the task is aborted.
        let unsent = UnsentReport(&self);
        let pipelined = PipelinedStream::new(stream, self.clone());
        let service = service_fn(|request| {
            let version = request.version();
            let source = self.answer_source(request);
            Box::pin(self.answer(source, version))
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(pipelined), service);
        let served = tokio::select! {
            served = &mut connection => served,
            () = self.wait_eviction() => {
                self.pipeline.lock().end_connection();
                return;
            }
        };
        let is_whole = served.is_ok();
        let is_cut = served.as_ref().is_err_and(hyper::Error::is_user);
        if let Err(e) = served {
            spdlog::debug!("connection of a caller failed", kv: { cause = e.to_string().as_str() });
        }
        self.pipeline.lock().end_connection();
        drop(unsent);
        // The body of an answer was cut off: its caller waits for nothing else.
        if is_cut {
            return;
        }
        let stream = connection.into_parts().io.into_inner().into_inner();
        if is_whole && self.ends_answer.load(Ordering::Relaxed) {
            set_reset(&stream, false);
        }
        if tokio::time::timeout(LINGER_TIMEOUT, linger(stream))
            .await
            .is_err()
        {
            spdlog::debug!("caller still sends after the last answer; closing its connection");
        }
    }

    /// Waits until the connection is evicted. A request whose body is refused for this
    /// still gets its answer.
    async fn wait_eviction(&self) {
        self.holder.evicted().await;
        if self.pipeline.lock().is_undecided() {
            tokio::time::sleep(LINGER_TIMEOUT).await;
        }
    }

    /// Selects the source of the answer once a request becomes the current one.
    fn answer_source(&self, mut request: Request<Incoming>) -> AnswerSource {
        let is_large = head_size(&request) > MAX_HEAD;
        let is_last = is_large || is_last(&request);
        let (arrived_at, early) = self.pipeline.lock().record_current(&request, is_last);
        if request.body().is_end_stream() {
            self.holder.wait_for(Side::Own);
        }
        match early {
            _ if is_large => AnswerSource::HeadTooLarge,
            Some(early) => AnswerSource::Early(early),
            None => {
                request.extensions_mut().insert(Arc::clone(&self.holder));
                AnswerSource::Handler(self.handler.serve(request, arrived_at, self.from))
            }
        }
    }

    async fn answer(
        &self,
        source: AnswerSource,
        version: Version,
    ) -> Result<Response<PipelinedBody>, NoAnswer> {
        let is_large = matches!(source, AnswerSource::HeadTooLarge);
        let ChargedAnswer { mut answer, charge } = match source {
            AnswerSource::HeadTooLarge => charge_answer(head_too_large(), &self.holder)?,
            AnswerSource::Early(early) => early.await??,
            AnswerSource::Handler(answer) => charge_answer(answer.await, &self.holder)?,
        };
        self.holder.wait_for(Side::Remote);
        let is_closing = *self.closing.borrow();
        let has_length = answer.body().size_hint().exact().is_some()
            || answer.headers().contains_key(CONTENT_LENGTH);
        if version < Version::HTTP_11 && !has_length {
            self.ends_answer.store(true, Ordering::Relaxed);
        }
        // Whole answers are sent at once, except for the last ones before a process ends.
        let may_be_cut = is_closing || answer.body().size_hint().exact().is_none();
        let unsent = UnsentAnswer {
            request: if may_be_cut {
                self.handler.request_id(answer.headers())
            } else {
                Box::default()
            },
            status: answer.status(),
            decided_at: Instant::now(),
            is_incomplete: false,
        };
        let mut pipeline = self.pipeline.lock();
        pipeline.record_decided(unsent, charge);
        // Pipelined requests that were read are still answered, since their caller
        // cannot tell whether they were forwarded.
        if is_large || is_closing && !pipeline.has_buffered() {
            pipeline.end_connection();
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        drop(pipeline);
        Ok(answer.map(|body| PipelinedBody::new(body, Arc::clone(&self.pipeline))))
    }
}

/// Reports the answer that a connection has not sent completely when it ends.
struct UnsentReport<'c, S: RequestHandler>(&'c CallerConnection<S>);

impl<S: RequestHandler> Drop for UnsentReport<'_, S> {
    fn drop(&mut self) {
        let connection = self.0;
        let unsent = connection.pipeline.lock().take_unsent();
        if let Some(answer) = unsent {
            connection.handler.record_unsent(&answer, connection.from);
        }
    }
}

/// Returns whether this is the last request on its connection.
fn is_last<B>(request: &Request<B>) -> bool {
    let values = request.headers().get_all(CONNECTION);
    let has_close = values.iter().any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    });
    has_close || request.version() != Version::HTTP_11
}

/// Returns the approximate size of the head of a request, in bytes; the library's
/// own limit applies to what it reads at once, which may be more.
fn head_size<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query();
    let headers = request.headers().iter();
    let lines: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD)
        .sum();
    target.map_or(0, |target| target.as_str().len()) + lines
}

fn head_too_large() -> CallerAnswer {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    caller_text(
        status,
        "text/plain; charset=utf-8",
        "the head is larger than 32 KiB\n",
    )
}

/// Sets whether a connection is reset when it closes.
pub(super) fn set_reset(stream: &TcpStream, is_reset: bool) {
    let linger = is_reset.then_some(Duration::ZERO);
    if let Err(e) = SockRef::from(stream).set_linger(linger) {
        spdlog::debug!("cannot set linger", kv: { cause = e.to_string().as_str() });
    }
}

/// Reads and discards what the caller still sends after the last answer.
///
/// Closing with unread bytes would reset the connection, and the caller could lose
/// the last answer.
async fn linger(mut stream: TcpStream) {
    let mut rest = [0; 4096];
    while matches!(stream.read(&mut rest).await, Ok(count) if count > 0) {}
}
