//! Serving of HTTP to callers, whose leaving is noticed.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio_stream::StreamExt;

use super::{Cut, Payload};
use crate::error::Error;

/// The body of an answer to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, Cut>;
/// An answer to a caller.
pub type CallerAnswer = Response<CallerBody>;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;
/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Bytes of a header's line besides name and value.
const LINE: usize = 4;
/// How long a connection may be idle or take for a head; longer than callers
/// keep idle connections, so that a request seldom meets the closing.
const IDLE: Duration = Duration::from_secs(60);
/// How long a caller may go on sending after its last answer.
const LINGER: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct Listening {
    address: SocketAddr,
    closing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Listening {
    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks callers to use no connection again after its next answer.
    pub fn close_kept(&self) {
        self.closing.send_replace(true);
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds `address` and serves `handler`.
///
/// When a caller closes its connection, the handler of its request is dropped.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen<H, F>(address: SocketAddr, handler: H) -> Result<Listening, Error>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = CallerAnswer> + Send + 'static,
{
    let failed = |e| Error::io(format!("listen on {address}"), e);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let (closing, told) = watch::channel(false);
    let task = tokio::spawn(async move {
        // Connections end with the listener, since the set is dropped with it.
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            match listener.accept().await {
                Ok((stream, from)) => {
                    connections.spawn(connection(stream, from, handler.clone(), told.clone()));
                }
                Err(e) => {
                    spdlog::warn!("cannot accept", kv: { cause = e.to_string().as_str() });
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(Listening {
        address,
        closing,
        task,
    })
}

async fn connection<H, F>(
    stream: TcpStream,
    from: SocketAddr,
    handler: H,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send,
    F: Future<Output = CallerAnswer> + Send,
{
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("cannot set nodelay", kv: { cause = e.to_string().as_str() });
    }
    let service = service_fn(|request| {
        let large = head_size(&request) > MAX_HEAD;
        // Put on the heap at once: it is large, and would be copied thrice.
        let answer = (!large).then(|| Box::pin(handler(request, from)));
        let closing = &closing;
        Box::pin(async move {
            let mut answer = match answer {
                Some(answer) => answer.await,
                None => too_large(),
            };
            if large || *closing.borrow() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    let served = (&mut connection).await;
    if let Err(e) = served {
        spdlog::debug!("connection of a caller ended", kv: { cause = e.to_string().as_str() });
    }
    let rest = linger(connection.into_parts().io.into_inner());
    if tokio::time::timeout(LINGER, rest).await.is_err() {
        spdlog::debug!("a caller went on sending after its last answer");
    }
}

/// Returns about how many bytes the head of a request has; the library's own
/// bound holds for what it reads at once, which may be more.
fn head_size<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query();
    let headers = request.headers().iter();
    let lines: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + LINE)
        .sum();
    target.map_or(0, |target| target.as_str().len()) + lines
}

fn too_large() -> CallerAnswer {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    caller_text(
        status,
        "text/plain; charset=utf-8",
        "the head is larger than 32 KiB\n",
    )
}

/// Reads what the caller still sends after nothing more is sent to it.
///
/// Closing while bytes are unread would reset the connection, and the caller
/// could lose the answer that was sent last.
async fn linger(mut stream: TcpStream) {
    let mut rest = [0; 4096];
    while matches!(stream.read(&mut rest).await, Ok(count) if count > 0) {}
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
pub fn caller_text(status: StatusCode, kind: &'static str, text: impl Into<Bytes>) -> CallerAnswer {
    let mut answer = Response::new(caller_body(Payload::Whole(text.into())));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}
