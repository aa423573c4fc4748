//! HTTP client of the backend server on loopback.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::uri::{Parts, PathAndQuery};
use http::{HeaderMap, HeaderName, Request, Response, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::Instant;
use tokio_stream::StreamExt;

use crate::call::CallHead;
use crate::model::{CrashId, ServerId};
use crate::web::{
    Charge, ChunkSender, Chunks, ConnectionPool, Dialer, IncompleteBody, MAX_WHOLE_BODY, Payload,
    PoolLimits, RequestError,
};

type RequestBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Maximum number of idle connections to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of connecting on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for which a streamed body may make no progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure to get an answer from the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BackendError {
    /// Connecting failed; nothing was sent.
    Connect(Box<str>),
    /// Nothing listens at its address; nothing was sent.
    NoListener(Box<str>),
    /// The connection closed before the answer was complete.
    ConnectionLost(Box<str>),
    /// The server crashed while it ran the call.
    Crashed(CrashId),
    /// The answer was not HTTP or not for this call.
    InvalidAnswer(Box<str>),
    /// The server reported that it has not run the call, and optionally a delay
    /// after which it will.
    NotRun(Option<Duration>),
    /// Another server listens at the address and has not run the call.
    OtherServer(Option<ServerId>),
}

impl BackendError {
    /// Returns whether it counts as a fault of the current backend server.
    pub(super) const fn is_fault(&self) -> bool {
        match self {
            Self::ConnectionLost(_) | Self::Crashed(_) | Self::InvalidAnswer(_) => true,
            Self::Connect(_) | Self::NoListener(_) | Self::NotRun(_) | Self::OtherServer(_) => {
                false
            }
        }
    }
}

/// HTTP client of the backend server.
#[derive(Debug)]
pub struct Backend {
    connections: ConnectionPool<RequestBody>,
}

impl Backend {
    /// Creates a client of the backend server at `address`, whose answers repeat the
    /// header `id_header` of requests if there is one.
    pub fn new(address: SocketAddr, id_header: Option<HeaderName>) -> Self {
        let dial = Dialer {
            address,
            local_ip: None,
            timeout: CONNECT_TIMEOUT,
            ack_timeout: None,
        };
        let keep = PoolLimits {
            max_idle: MAX_IDLE_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
        };
        Self {
            connections: ConnectionPool::new(dial, keep).with_answer_id(id_header),
        }
    }

    /// Closes connections that exceeded the idle timeout.
    pub(super) fn trim(&self) {
        self.connections.trim();
    }

    /// Returns how many answers to earlier requests were dropped since the last call.
    pub(super) fn take_late_answers(&self) -> u64 {
        self.connections.take_late_answers()
    }

    /// Sends a call and waits for status and headers of the answer.
    pub(super) async fn send(
        &self,
        head: &CallHead,
        headers: HeaderMap,
        body: Payload,
    ) -> Result<Response<Incoming>, BackendError> {
        let mut request = Request::new(request_body(body));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = request_target(&head.target)?;
        *request.headers_mut() = headers;
        self.connections
            .request(request)
            .await
            .map_err(backend_error)
    }
}

impl Backend {
    /// Returns whether nothing listens at its address any more; a successful
    /// connection is kept for the next call.
    pub(super) async fn has_no_listener(&self) -> bool {
        match self.connections.open().await {
            Err(RequestError::Connect(e)) => is_refused(&e),
            Err(RequestError::NoAnswer(_)) | Ok(()) => false,
        }
    }

    /// Returns whether a connection has been established since `time`.
    pub(super) fn has_connected_since(&self, time: Instant) -> bool {
        let connected = self.connections.last_connected();
        connected.is_some_and(|connected| connected >= time)
    }
}

/// Creates a request target in origin form, without a host.
fn request_target(path: &str) -> Result<Uri, BackendError> {
    let invalid = || BackendError::Connect("the request target is not a valid path".into());
    let mut parts = Parts::default();
    parts.path_and_query = Some(PathAndQuery::try_from(path).map_err(|_| invalid())?);
    Uri::from_parts(parts).map_err(|_| invalid())
}

/// Returns whether nothing listens at the address.
fn is_refused(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

fn backend_error(error: RequestError) -> BackendError {
    match error {
        RequestError::Connect(e) if is_refused(&e) => {
            BackendError::NoListener(e.to_string().into())
        }
        RequestError::Connect(e) => BackendError::Connect(e.to_string().into()),
        RequestError::NoAnswer(e) if e.is_parse() => {
            BackendError::InvalidAnswer(e.to_string().into())
        }
        RequestError::NoAnswer(e) => BackendError::ConnectionLost(e.to_string().into()),
    }
}

fn request_body(body: Payload) -> RequestBody {
    match body {
        Payload::Whole(bytes) => Full::new(bytes)
            .map_err(|never| match never {})
            .boxed_unsync(),
        Payload::Stream { chunks, .. } => {
            StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
        }
    }
}

/// Body of an answer, as far as it was read.
pub(super) enum AnswerBody {
    /// The complete body.
    Whole(Bytes),
    /// Start of a large body, and the rest of it to be read.
    Large(Bytes, Incoming),
}

/// Reads the complete body of an answer if it is small and there is room to hold it.
pub(super) async fn read_small(
    mut body: Incoming,
    mut charge: Charge,
) -> Result<AnswerBody, BackendError> {
    if body.size_hint().lower() > MAX_WHOLE_BODY as u64 {
        return Ok(AnswerBody::Large(Bytes::new(), body));
    }
    let known = body.size_hint().exact().unwrap_or_default();
    let mut whole = bytes::BytesMut::with_capacity(usize::try_from(known).unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BackendError::ConnectionLost(e.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > MAX_WHOLE_BODY || charge.grow_to(whole.len()).is_err() {
            return Ok(AnswerBody::Large(whole.freeze(), body));
        }
    }
    Ok(AnswerBody::Whole(whole.freeze()))
}

/// Forwards a large body until `latest`; returns whether it was forwarded completely.
///
/// A server stops work at the deadline of its call, so a body that goes on is none that
/// ends.
pub(super) async fn copy_body(
    first: Bytes,
    body: Incoming,
    latest: Instant,
    to: &ChunkSender,
) -> bool {
    let copied = tokio::time::timeout_at(latest, copy_chunks(first, body, to)).await;
    copied.unwrap_or(false)
}

async fn copy_chunks(first: Bytes, mut body: Incoming, to: &ChunkSender) -> bool {
    if !first.is_empty() && !send_chunk(to, first).await {
        return false;
    }
    loop {
        let frame = match tokio::time::timeout(PROGRESS_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                let _ = to.send(Err(IncompleteBody)).await;
                return false;
            }
            Ok(None) => break,
            Err(_) => return false,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !data.is_empty() && !send_chunk(to, data).await {
            return false;
        }
    }
    send_chunk(to, Bytes::new()).await
}

/// Sends a chunk; returns whether the receiver took it in time.
async fn send_chunk(to: &ChunkSender, chunk: Bytes) -> bool {
    matches!(
        tokio::time::timeout(PROGRESS_TIMEOUT, to.send(Ok(chunk))).await,
        Ok(Ok(()))
    )
}

/// Reads a complete body of up to `limit` bytes; returns `None` if it is longer.
pub(super) async fn read_whole(
    first: Bytes,
    mut rest: Incoming,
    limit: usize,
) -> Result<Option<Bytes>, BackendError> {
    let mut whole = bytes::BytesMut::from(&first[..]);
    while let Some(frame) = rest.frame().await {
        let frame = frame.map_err(|e| BackendError::ConnectionLost(e.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > limit {
            return Ok(None);
        }
    }
    Ok(Some(whole.freeze()))
}

/// Creates the payload of a large body.
pub(super) fn stream(length: Option<u64>, chunks: Chunks) -> Payload {
    Payload::Stream { length, chunks }
}
