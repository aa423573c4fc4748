//! Serving of HTTP to callers, whose leaving is noticed.

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

use super::caller_connection::CallerConnection;
use super::pipeline::Pipeline;
use super::{IncompleteBody, Payload, RequestHandler};
use crate::error::Error;

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, IncompleteBody>;
/// An answer to a caller.
pub type CallerAnswer = Response<CallerBody>;

/// Pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpListener {
    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks callers to use no connection again after its next answer.
    pub fn disable_keep_alive(&self) {
        self.closing.send_replace(true);
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds `address` and serves `handler`, one request a connection at a time.
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

/// Binds `address` and serves `handler`, up to `limit` requests a connection
/// at a time; their answers go back in the order of the requests.
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
    let task = tokio::spawn(async move {
        // ConnectionPool end with the listener, since the set is dropped with it.
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, from)) => {
                    let connection = CallerConnection {
                        from,
                        handler: handler.clone(),
                        pipeline: Arc::new(Mutex::new(Pipeline::new(limit, Instant::now()))),
                        closing: closing_receiver.clone(),
                    };
                    connections.spawn(connection.run(stream));
                }
                Err(e) => {
                    spdlog::warn!("cannot accept", kv: { cause = e.to_string().as_str() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(HttpListener {
        address,
        closing,
        task,
    })
}

/// Makes the body of an answer; one that is cut ends its connection early.
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

/// Makes an answer of a status and a text.
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
