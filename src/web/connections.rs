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
const USED_PART: f64 = 0.8;

/// Reads how long the other end keeps the connection once it is idle.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
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
struct Idle<B> {
    sender: SendRequest<B>,
    since: Instant,
    /// When the other end is about to close it, if it told.
    until: Option<Instant>,
}

impl<B> Idle<B> {
    fn is_over(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until <= now)
    }
}

/// Connections to one address.
///
/// The one used last is used first, since the other end is the least likely to
/// have closed or forgotten it.
#[derive(Debug)]
pub struct ConnectionPool<B> {
    dial: Dialer,
    limits: PoolLimits,
    host: HeaderValue,
    idle: Mutex<VecDeque<Idle<B>>>,
}

impl<B> ConnectionPool<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Makes a set without any connection.
    pub fn new(dial: Dialer, limits: PoolLimits) -> Self {
        let host = HeaderValue::try_from(dial.address.to_string());
        Self {
            dial,
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
        while let Some(mut sender) = self.take() {
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok(self.answered(sender, answer)),
                Err(mut failed) => match failed.take_message() {
                    // The other end had closed the connection.
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::NoAnswer(failed.into_error())),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.send_request(request).await {
            Ok(answer) => Ok(self.answered(sender, answer)),
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
        let stream = self.dial.connect().await.map_err(RequestError::Connect)?;
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
    fn take(&self) -> Option<SendRequest<B>> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let mut place = idle.len();
        while place > 0 {
            place -= 1;
            let is_ready = idle[place].sender.is_ready();
            let is_over = is_ready && idle[place].is_over(now);
            if is_ready && !is_over {
                return idle.remove(place).map(|idle| idle.sender);
            }
            if is_over || idle[place].sender.is_closed() {
                idle.remove(place);
            }
        }
        None
    }

    /// Gives a connection back, whose answer may still be on its way; it is
    /// not taken before its end.
    fn answered(&self, sender: SendRequest<B>, answer: Response<Incoming>) -> Response<Incoming> {
        let kept = kept_for(answer.headers()).map(|time| time.mul_f64(USED_PART));
        self.put_back(sender, kept);
        answer
    }

    /// Keeps a connection, for some time at the longest.
    fn put_back(&self, sender: SendRequest<B>, time: Option<Duration>) {
        let since = Instant::now();
        let until = time.map(|time| since + time);
        let mut idle = self.idle.lock();
        idle.push_back(Idle {
            sender,
            since,
            until,
        });
        self.close_old(&mut idle, since);
    }

    /// Closes connections that have been idle for too long, which is otherwise
    /// done only when one is given back.
    pub fn trim(&self) {
        let mut idle = self.idle.lock();
        self.close_old(&mut idle, Instant::now());
        if idle.is_empty() {
            idle.shrink_to_fit();
        }
    }

    fn close_old(&self, idle: &mut VecDeque<Idle<B>>, now: Instant) {
        let old =
            |kept: &Idle<B>| now.saturating_duration_since(kept.since) > self.limits.idle_timeout;
        while idle.len() > self.limits.max_idle || idle.front().is_some_and(old) {
            idle.pop_front();
        }
    }

    /// Returns the number of connections that carry no request, or one that
    /// is answered already.
    pub fn idle_count(&self) -> usize {
        self.idle.lock().len()
    }
}
