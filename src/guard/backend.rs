//! The backend server on loopback, met by HTTP.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::uri::{Parts, PathAndQuery};
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio_stream::StreamExt;

use crate::call::CallHead;
use crate::model::{CrashId, ServerId};
use crate::web::{Chunks, Connections, Cut, Dial, Keep, Payload, RequestError, SMALL_BODY};

type RequestBody = UnsyncBoxBody<Bytes, Cut>;

/// Idle connections that are kept to the backend server.
const MAX_IDLE_CONNECTIONS: usize = 256;
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long connecting on loopback may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time in which a streamed body may make no progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// How the backend server failed to answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum BackendError {
    /// No connection could be made; it has seen nothing.
    Connect(Box<str>),
    /// Nothing listens at its address; it has seen nothing.
    NoListener(Box<str>),
    /// It closed early, or answered too little.
    ConnectionLost(Box<str>),
    /// It crashed while it ran the call.
    Crashed(CrashId),
    /// Its answer was no HTTP, or none to this call.
    InvalidAnswer(Box<str>),
    /// It said itself that it has not run the call, and perhaps when it will.
    NotRun(Option<Duration>),
    /// Another run stands at its address and has not run the call.
    OtherServer(Option<ServerId>),
}

impl BackendError {
    /// Tells whether it speaks against the backend server that stands there.
    pub(super) const fn is_fault(&self) -> bool {
        match self {
            Self::ConnectionLost(_) | Self::Crashed(_) | Self::InvalidAnswer(_) => true,
            Self::Connect(_) | Self::NoListener(_) | Self::NotRun(_) | Self::OtherServer(_) => {
                false
            }
        }
    }
}

/// A client of the backend server.
#[derive(Debug)]
pub struct Backend {
    connections: Connections<RequestBody>,
}

impl Backend {
    /// Makes a client of the backend server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let dial = Dial {
            address,
            own: None,
            timeout: CONNECT_TIMEOUT,
            unacknowledged: None,
        };
        let keep = Keep {
            most: MAX_IDLE_CONNECTIONS,
            idle: IDLE_TIMEOUT,
        };
        Self {
            connections: Connections::new(dial, keep),
        }
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn trim(&self) {
        self.connections.trim();
    }

    /// Sends a call and waits for the head of the answer.
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
    /// Tells whether nothing listens at its address any more. A connection
    /// that can be made is kept for the next call.
    pub(super) async fn has_no_listener(&self) -> bool {
        match self.connections.open().await {
            Err(RequestError::Connect(e)) => is_refused(&e),
            Err(RequestError::Lost(_)) | Ok(()) => false,
        }
    }
}

/// Makes a target without a host, as servers take it.
fn request_target(path: &str) -> Result<Uri, BackendError> {
    let invalid = || BackendError::Connect("the target is no valid path".into());
    let mut parts = Parts::default();
    parts.path_and_query = Some(PathAndQuery::try_from(path).map_err(|_| invalid())?);
    Uri::from_parts(parts).map_err(|_| invalid())
}

/// Tells whether nothing listens at the address.
fn is_refused(error: &std::io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

fn backend_error(error: RequestError) -> BackendError {
    match error {
        RequestError::Connect(e) if is_refused(&e) => {
            BackendError::NoListener(e.to_string().into())
        }
        RequestError::Connect(e) => BackendError::Connect(e.to_string().into()),
        RequestError::Lost(e) if e.is_parse() => BackendError::InvalidAnswer(e.to_string().into()),
        RequestError::Lost(e) => BackendError::ConnectionLost(e.to_string().into()),
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

/// What was read of an answer's body.
pub(super) enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// It is large: what was read so far, and the rest.
    Large(Bytes, Incoming),
}

/// Reads an answer's body whole if it is small.
pub(super) async fn read_small(mut body: Incoming) -> Result<AnswerBody, BackendError> {
    if body.size_hint().lower() > SMALL_BODY as u64 {
        return Ok(AnswerBody::Large(Bytes::new(), body));
    }
    let known = body.size_hint().exact().unwrap_or_default();
    let mut whole = bytes::BytesMut::with_capacity(usize::try_from(known).unwrap_or_default());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BackendError::ConnectionLost(e.to_string().into()))?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if whole.len() > SMALL_BODY {
            return Ok(AnswerBody::Large(whole.freeze(), body));
        }
    }
    Ok(AnswerBody::Whole(whole.freeze()))
}

/// Passes the rest of a large body on; returns whether it arrived whole.
pub(super) async fn copy_body(
    first: Bytes,
    mut body: Incoming,
    to: &tokio::sync::mpsc::Sender<Result<Bytes, Cut>>,
) -> bool {
    if !first.is_empty() && !send_chunk(to, first).await {
        return false;
    }
    while let Ok(Some(frame)) = tokio::time::timeout(PROGRESS_TIMEOUT, body.frame()).await {
        let Ok(frame) = frame else {
            let _ = to.send(Err(Cut)).await;
            return false;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !data.is_empty() && !send_chunk(to, data).await {
            return false;
        }
    }
    if !body.is_end_stream() {
        return false;
    }
    send_chunk(to, Bytes::new()).await
}

/// Sends a chunk on, unless the receiver takes none for too long.
async fn send_chunk(to: &tokio::sync::mpsc::Sender<Result<Bytes, Cut>>, chunk: Bytes) -> bool {
    matches!(
        tokio::time::timeout(PROGRESS_TIMEOUT, to.send(Ok(chunk))).await,
        Ok(Ok(()))
    )
}

/// Reads a body whole up to `limit` bytes; `None` if it is longer.
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

/// Makes the stream of a large body.
pub(super) fn stream(length: Option<u64>, chunks: Chunks) -> Payload {
    Payload::Stream { length, chunks }
}
