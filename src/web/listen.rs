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
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use tokio_stream::StreamExt;

use super::activity::ConnectionCounts;
use super::caller_connection::CallerConnection;
use super::pipeline::Pipeline;
use super::{IncompleteBody, Payload, RequestHandler};
use crate::error::Error;

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, IncompleteBody>;
/// An answer to a caller.
pub type CallerAnswer = Response<CallerBody>;

/// Pause after a failure to accept a connection, such as for lack of file
/// descriptors.
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

/// Binds `address` and serves requests with `handler`, one at a time for each
/// connection.
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
/// for each connection; answers are sent in the order of the requests.
///
/// When a caller closes its connection, the handlers of its requests are
/// dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen_pipelined<S: RequestHandler>(
    address: SocketAddr,
    limit: usize,
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
            match listener.accept().await {
                Ok((stream, from)) => {
                    let connection = CallerConnection {
                        from,
                        handler: handler.clone(),
                        pipeline: Arc::new(Mutex::new(Pipeline::new(
                            limit,
                            Instant::now(),
                            shared_counts.clone(),
                        ))),
                        closing: closing_receiver.clone(),
                    };
                    connections.spawn(connection.run(stream));
                }
                Err(e) => {
                    spdlog::warn!("cannot accept a connection", kv: { cause = e.to_string().as_str() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(HttpListener {
        address,
        closing,
        counts,
        task,
    })
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
