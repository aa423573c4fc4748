//! An HTTP server of `hyper` that cancels a request when its caller disconnects.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use tokio_stream::StreamExt;

use super::activity::ConnectionCounts;
use super::caller_connection::CallerConnection;
use super::pipeline::Pipeline;
use super::{IncompleteBody, Payload, RequestHandler, Resources};
use crate::error::Error;
use crate::policy::resource::{ConnectionGroup, Purpose, ResourceLimits};

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, IncompleteBody>;
/// An answer to a caller.
pub type CallerAnswer = Response<CallerBody>;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An HTTP server that runs until it is dropped.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    counts: ConnectionCounts,
    task: JoinHandle<()>,
}

impl HttpListener {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counts of connections.
    pub fn connections(&self) -> &ConnectionCounts {
        &self.counts
    }

    /// Makes each connection close after an answer once no further request has been
    /// read.
    pub fn disable_keep_alive(&self) {
        self.closing.send_replace(true);
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// How an HTTP server serves its connections.
#[derive(Clone, Debug)]
pub struct ListenOptions {
    /// Maximum number of requests of one connection in progress; with 0 or 1 each waits
    /// for the answer to the one before it.
    pub max_pipelined: usize,
    /// The account of what is held for connections.
    pub resources: Resources,
    /// Who connects.
    pub group: ConnectionGroup,
}

impl ListenOptions {
    /// Serves one request at a time for each connection, within the limits of `resources`.
    pub fn new(resources: Resources, group: ConnectionGroup) -> Self {
        Self {
            max_pipelined: 1,
            resources,
            group,
        }
    }
}

/// Binds `address` and serves requests with `handler`, one at a time for each
/// connection and with no limits on what is held.
///
/// When a caller closes its connection, the handler of its request is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen<H, F>(address: SocketAddr, handler: H) -> Result<HttpListener, Error>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = CallerAnswer> + Send + 'static,
{
    listen_pipelined(address, 1, handler).await
}

/// Binds `address` and serves requests with `handler`, up to `limit` at a time
/// for each connection and with no limits on what is held; answers are sent in the order
/// of the requests.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen_pipelined<S: RequestHandler>(
    address: SocketAddr,
    limit: usize,
    handler: S,
) -> Result<HttpListener, Error> {
    let resources = Resources::new(ResourceLimits::NONE);
    let options = ListenOptions {
        max_pipelined: limit,
        ..ListenOptions::new(resources, ConnectionGroup::Callers)
    };
    listen_within(address, options, handler).await
}

/// Binds `address` and serves requests with `handler`; answers are sent in the order of
/// the requests. Connections that hold too much are evicted.
///
/// When a caller closes its connection, the handlers of its requests are
/// dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen_within<S: RequestHandler>(
    address: SocketAddr,
    options: ListenOptions,
    handler: S,
) -> Result<HttpListener, Error> {
    let listen_error = |e| Error::io(format!("listen on {address}"), e);
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let (closing, closing_receiver) = watch::channel(false);
    let counts = ConnectionCounts::default();
    let shared_counts = counts.clone();
    let task = tokio::spawn(async move {
        // Dropping the set with this task closes all connections.
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let (stream, from) = accept(&listener, &options).await;
            // Without room the connection closes before a request is read.
            let Ok(holder) = options.resources.open(options.group, from.ip()) else {
                continue;
            };
            let connection = CallerConnection {
                from,
                handler: handler.clone(),
                pipeline: Arc::new(Mutex::new(Pipeline::new(
                    options.max_pipelined,
                    Instant::now(),
                    shared_counts.clone(),
                    holder.charge(Purpose::Request),
                ))),
                closing: closing_receiver.clone(),
                holder,
                ends_answer: Arc::default(),
            };
            connections.spawn(connection.run(stream));
        }
    });
    Ok(HttpListener {
        address,
        closing,
        counts,
        task,
    })
}

/// Accepts a connection; evicts one if there is no descriptor left.
async fn accept(listener: &TcpListener, options: &ListenOptions) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(e) => {
                spdlog::warn!("cannot accept a connection", kv: { cause = e.to_string().as_str() });
                options.resources.evict_one(options.group);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Builds the body of an answer; an incomplete one closes its connection.
pub fn caller_body(body: Payload) -> CallerBody {
    match body {
        Payload::Whole(bytes) => Full::new(bytes)
            .map_err(|never| match never {})
            .boxed_unsync(),
        Payload::Stream { chunks, .. } => {
            StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
        }
    }
}

/// Builds an answer with a text body.
pub fn caller_text(
    status: StatusCode,
    content_type: &'static str,
    text: impl Into<Bytes>,
) -> CallerAnswer {
    let mut answer = Response::new(caller_body(Payload::Whole(text.into())));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
