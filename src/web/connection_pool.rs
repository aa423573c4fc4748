//! Pool of connections to one address, each of which carries one request at a
//! time.
//!
//! Each call to the backend server goes through it. Compared with the library's
//! general pool it saves each request a spawned task, a race between waiting and
//! connecting, and a lookup by host.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::Instant;

use super::Dialer;
use super::answer_filter::{AnswerFilter, ExpectedAnswer};

/// Maximum size of a connection's buffer, in bytes; the head of an answer must fit
/// into it, a body need not.
pub const MAX_BUFFER: usize = 64 * 1024;

/// Header that says how long the server keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Share of that time during which a connection is reused, so that the server
/// doesn't close it while a request is on its way.
const REUSE_SHARE: f64 = 0.8;

/// Returns how long the server keeps the connection once it is idle.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Copies a header value, which may be a slice of a whole message, to keep it for long.
fn copy_value(value: &HeaderValue) -> Option<HeaderValue> {
    HeaderValue::from_bytes(value.as_bytes()).ok()
}

/// A request without an answer.
#[derive(Debug)]
pub enum RequestError {
    /// No connection was established; nothing was sent.
    Connect(std::io::Error),
    /// The request may have arrived, but no answer came back.
    NoAnswer(hyper::Error),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::NoAnswer(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

/// Limits on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// An open connection.
#[derive(Debug)]
struct Connection<B> {
    sender: SendRequest<B>,
    expected: ExpectedAnswer,
    /// Id of the last request, if answers repeat it.
    last_id: Option<HeaderValue>,
}

/// A connection in the pool.
#[derive(Debug)]
struct IdleConnection<B> {
    connection: Connection<B>,
    idle_since: Instant,
    /// When the server is about to close it, if its answer said so.
    expires_at: Option<Instant>,
}

impl<B> IdleConnection<B> {
    fn is_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }
}

/// A pool of connections to one address.
///
/// The connection used last is reused first, since it is the least likely to have
/// been closed or dropped on the way.
#[derive(Debug)]
pub struct ConnectionPool<B> {
    dialer: Dialer,
    limits: PoolLimits,
    host: HeaderValue,
    /// Header of a request that its answer repeats.
    id_header: Option<HeaderName>,
    /// Number of late answers dropped since they were last taken.
    late_answers: Arc<AtomicU64>,
    idle: Mutex<VecDeque<IdleConnection<B>>>,
    last_connected: Mutex<Option<Instant>>,
}

impl<B> ConnectionPool<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates an empty pool.
    pub fn new(dialer: Dialer, limits: PoolLimits) -> Self {
        let host = HeaderValue::try_from(dialer.address.to_string());
        Self {
            dialer,
            limits,
            host: host.unwrap_or_else(|_| HeaderValue::from_static("")),
            id_header: None,
            late_answers: Arc::default(),
            idle: Mutex::default(),
            last_connected: Mutex::default(),
        }
    }

    /// Drops answers in which the header `id_header`, if any, differs from that of the
    /// request in progress: they belong to earlier ones.
    #[must_use]
    pub fn with_answer_id(self, id_header: Option<HeaderName>) -> Self {
        Self { id_header, ..self }
    }

    /// Sends a request, whose target is a path, and waits for the head of the
    /// answer.
    ///
    /// The connection is reused once the body of the answer has been read; it
    /// closes if this future or the body is dropped earlier, and after a HEAD request
    /// if late answers are dropped.
    ///
    /// # Errors
    ///
    /// Fails without an answer; the error says whether the request may have
    /// arrived.
    pub async fn request(
        &self,
        mut request: Request<B>,
    ) -> Result<Response<Incoming>, RequestError> {
        if !request.headers().contains_key(HOST) {
            request.headers_mut().insert(HOST, self.host.clone());
        }
        let allows_reuse = self.allows_reuse(&request);
        while let Some(mut connection) = self.take_idle(self.id_of(&request)) {
            self.expect_answer(&mut connection, &request);
            match connection.sender.try_send_request(request).await {
                Ok(answer) => {
                    if allows_reuse {
                        self.keep_answered(connection, &answer);
                    }
                    return Ok(answer);
                }
                Err(mut failed) => match failed.take_message() {
                    // The server had already closed the connection.
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::NoAnswer(failed.into_error())),
                },
            }
        }
        let mut connection = self.connect().await?;
        self.expect_answer(&mut connection, &request);
        let answer = connection.sender.send_request(request).await;
        let answer = answer.map_err(RequestError::NoAnswer)?;
        if allows_reuse {
            self.keep_answered(connection, &answer);
        }
        Ok(answer)
    }

    /// Returns the id of a request that its answer repeats, if there is one.
    fn id_of<'r>(&self, request: &'r Request<B>) -> Option<&'r HeaderValue> {
        request.headers().get(self.id_header.as_ref()?)
    }

    fn expect_answer(&self, connection: &mut Connection<B>, request: &Request<B>) {
        let id = self.id_of(request).and_then(copy_value);
        connection.last_id = id.clone();
        connection.expected.expect(id);
    }

    /// Returns whether its connection may carry another request after this one.
    ///
    /// If late answers are dropped, it must not after a HEAD request: a late answer to it
    /// names the length of a body that doesn't follow.
    fn allows_reuse(&self, request: &Request<B>) -> bool {
        self.id_header.is_none() || request.method() != Method::HEAD
    }

    /// Opens a connection and puts it into the pool.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub async fn open(&self) -> Result<(), RequestError> {
        let connection = self.connect().await?;
        self.put_back(connection, None);
        Ok(())
    }

    async fn connect(&self) -> Result<Connection<B>, RequestError> {
        let stream = self.dialer.connect().await.map_err(RequestError::Connect)?;
        self.last_connected.lock().replace(Instant::now());
        let expected = ExpectedAnswer::default();
        let late = Arc::clone(&self.late_answers);
        let filter = AnswerFilter::new(stream, self.id_header.clone(), expected.clone(), late);
        let sender = start_connection(filter).await;
        let sender = sender.map_err(RequestError::NoAnswer)?;
        Ok(Connection {
            sender,
            expected,
            last_id: None,
        })
    }

    /// Takes the most recently used connection that can carry a request with this id now.
    ///
    /// A retry goes over another connection than the attempt before it: a late answer to
    /// that attempt has the same id.
    fn take_idle(&self, id: Option<&HeaderValue>) -> Option<Connection<B>> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            let is_ready = idle[index].connection.sender.is_ready();
            let is_expired = is_ready && idle[index].is_expired(now);
            let is_retry = id.is_some() && idle[index].connection.last_id.as_ref() == id;
            if is_ready && !is_expired && !is_retry {
                return idle.remove(index).map(|idle| idle.connection);
            }
            if is_expired || idle[index].connection.sender.is_closed() {
                idle.remove(index);
            }
        }
        None
    }

    /// Returns a connection to the pool while the body of its answer may still be
    /// arriving; it isn't taken again until the body has been read.
    fn keep_answered(&self, connection: Connection<B>, answer: &Response<Incoming>) {
        let reuse_time = keep_alive_timeout(answer.headers()).map(|time| time.mul_f64(REUSE_SHARE));
        self.put_back(connection, reuse_time);
    }

    /// Puts a connection into the pool, for at most `reuse_time` if set.
    fn put_back(&self, connection: Connection<B>, reuse_time: Option<Duration>) {
        let idle_since = Instant::now();
        let expires_at = reuse_time.map(|time| idle_since + time);
        let mut idle = self.idle.lock();
        idle.push_back(IdleConnection {
            connection,
            idle_since,
            expires_at,
        });
        self.drop_excess(&mut idle, idle_since);
    }

    /// Closes connections that exceeded the idle timeout; otherwise this happens
    /// only when a connection returns to the pool.
    pub fn trim(&self) {
        let mut idle = self.idle.lock();
        self.drop_excess(&mut idle, Instant::now());
        if idle.is_empty() {
            idle.shrink_to_fit();
        }
    }

    fn drop_excess(&self, idle: &mut VecDeque<IdleConnection<B>>, now: Instant) {
        let is_old = |idle: &IdleConnection<B>| {
            now.saturating_duration_since(idle.idle_since) > self.limits.idle_timeout
        };
        while idle.len() > self.limits.max_idle || idle.front().is_some_and(is_old) {
            idle.pop_front();
        }
    }

    /// Returns when a connection was last established.
    pub fn last_connected(&self) -> Option<Instant> {
        *self.last_connected.lock()
    }

    /// Returns how many late answers were dropped since the last call.
    pub fn take_late_answers(&self) -> u64 {
        self.late_answers.swap(0, Ordering::Relaxed)
    }

    /// Returns the number of pooled connections; the body of a last answer may still
    /// be arriving.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}

/// Starts HTTP on a stream, which a task drives.
async fn start_connection<T, B>(stream: T) -> hyper::Result<SendRequest<B>>
where
    T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_BUFFER)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            spdlog::debug!("connection ended", kv: { cause = e.to_string().as_str() });
        }
    });
    Ok(sender)
}
