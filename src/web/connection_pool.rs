//! Connections to one address, each of which carries one request at a time.
//!
//! Each call to the backend server goes through one of these. Beside a general
//! pool of the library they spare a spawned task, a race between waiting and
//! connecting and a look-up by host for each request.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::Dialer;

/// Largest buffer of a connection, in bytes; it holds the head of an answer
/// whole, and bodies piece by piece.
pub const MAX_BUFFER: usize = 64 * 1024;

/// The name of the time that the other end keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Part of that time in which a connection is used again; a request on its way
/// must not meet the close.
const REUSE_SHARE: f64 = 0.8;

/// Reads how long the other end keeps the connection once it is idle.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Why there is no answer.
#[derive(Debug)]
pub enum RequestError {
    /// No connection was made; nothing was sent.
    Connect(std::io::Error),
    /// The request may have arrived.
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

/// What is kept of connections that carry no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Most connections that are kept.
    pub max_idle: usize,
    /// How long one is kept.
    pub idle_timeout: Duration,
}

/// A connection that was given back.
#[derive(Debug)]
struct IdleConnection<B> {
    sender: SendRequest<B>,
    idle_since: Instant,
    /// When the other end is about to close it, if it told.
    expires_at: Option<Instant>,
}

impl<B> IdleConnection<B> {
    fn is_expired(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }
}

/// Connections to one address.
///
/// The one used last is used first, since the other end is the least likely to
/// have closed or forgotten it.
#[derive(Debug)]
pub struct ConnectionPool<B> {
    dialer: Dialer,
    limits: PoolLimits,
    host: HeaderValue,
    idle: Mutex<VecDeque<IdleConnection<B>>>,
}

impl<B> ConnectionPool<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Makes a set without any connection.
    pub fn new(dialer: Dialer, limits: PoolLimits) -> Self {
        let host = HeaderValue::try_from(dialer.address.to_string());
        Self {
            dialer,
            limits,
            host: host.unwrap_or_else(|_| HeaderValue::from_static("")),
            idle: Mutex::default(),
        }
    }

    /// Sends a request, whose target is a path, and waits for the head of the
    /// answer.
    ///
    /// The connection is used again once the body of the answer was read; it
    /// ends if this future or the body is dropped before.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
    pub async fn request(
        &self,
        mut request: Request<B>,
    ) -> Result<Response<Incoming>, RequestError> {
        if !request.headers().contains_key(HOST) {
            request.headers_mut().insert(HOST, self.host.clone());
        }
        while let Some(mut sender) = self.take_idle() {
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.keep_answered(sender, answer)),
                Err(mut failed) => match failed.take_message() {
                    // The other end had closed the connection.
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::NoAnswer(failed.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.send_request(request).await {
            Ok(answer) => Ok(self.keep_answered(sender, answer)),
            Err(e) => Err(RequestError::NoAnswer(e)),
        }
    }

    /// Opens a connection and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// Fails if none can be made.
    pub async fn open(&self) -> Result<(), RequestError> {
        let sender = self.connect().await?;
        self.put_back(sender, None);
        Ok(())
    }

    async fn connect(&self) -> Result<SendRequest<B>, RequestError> {
        let stream = self.dialer.connect().await.map_err(RequestError::Connect)?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(RequestError::NoAnswer)?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                spdlog::debug!("connection ended", kv: { cause = e.to_string().as_str() });
            }
        });
        Ok(sender)
    }

    /// Takes out the connection that was used last of those that can carry a
    /// request now.
    fn take_idle(&self) -> Option<SendRequest<B>> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let mut index = idle.len();
        while index > 0 {
            index -= 1;
            let is_ready = idle[index].sender.is_ready();
            let is_expired = is_ready && idle[index].is_expired(now);
            if is_ready && !is_expired {
                return idle.remove(index).map(|idle| idle.sender);
            }
            if is_expired || idle[index].sender.is_closed() {
                idle.remove(index);
            }
        }
        None
    }

    /// Gives a connection back, whose answer may still be on its way; it is
    /// not taken before its end.
    fn keep_answered(
        &self,
        sender: SendRequest<B>,
        answer: Response<Incoming>,
    ) -> Response<Incoming> {
        let reuse_time = keep_alive_timeout(answer.headers()).map(|time| time.mul_f64(REUSE_SHARE));
        self.put_back(sender, reuse_time);
        answer
    }

    /// Keeps a connection, for some time at the longest.
    fn put_back(&self, sender: SendRequest<B>, reuse_time: Option<Duration>) {
        let idle_since = Instant::now();
        let expires_at = reuse_time.map(|time| idle_since + time);
        let mut idle = self.idle.lock();
        idle.push_back(IdleConnection {
            sender,
            idle_since,
            expires_at,
        });
        self.drop_excess(&mut idle, idle_since);
    }

    /// Closes connections that have been idle for too long, which is otherwise
    /// done only when one is given back.
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

    /// Returns the number of connections that carry no request, or one that
    /// is answered already.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}
