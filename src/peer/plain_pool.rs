//! Pool of connections to one daemon. Each carries one plain request at a time
//! and holds no buffer while idle.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::http_head::{ResponseHead, request_head};
use super::http_stream::HttpStream;
use super::message::PlainBody;
use crate::web::Dialer;

/// Maximum number of idle connections to one daemon.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Maximum idle time of a connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// How far a request that got no answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// No connection was open.
    NotSent,
    /// It may have arrived.
    Sent,
    /// The other daemon had no room to hold it.
    NotHeld,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(super) struct RequestError {
    pub(super) progress: RequestProgress,
    pub(super) cause: Box<str>,
}

impl RequestError {
    /// Creates the error of a request that may have arrived.
    pub(super) fn no_answer(cause: &dyn std::fmt::Display) -> Self {
        Self {
            progress: RequestProgress::Sent,
            cause: format!("no answer: {cause}").into(),
        }
    }

    /// Creates the error of a request that the other daemon had no room to hold.
    pub(super) fn not_held() -> Self {
        Self {
            progress: RequestProgress::NotHeld,
            cause: "the other daemon has no room for the request".into(),
        }
    }

    fn not_connected(cause: &io::Error) -> Self {
        Self {
            progress: RequestProgress::NotSent,
            cause: format!("cannot connect: {cause}").into(),
        }
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// A pool of connections to one daemon.
///
/// The most recently used connection is reused first, since the other end is
/// least likely to have closed or dropped it.
#[derive(Debug)]
pub(super) struct PlainPool {
    dial: Dialer,
    host: Box<str>,
    idle: Mutex<VecDeque<IdleConnection>>,
}

impl PlainPool {
    /// Creates a pool without connections.
    pub(super) fn new(dial: Dialer) -> Self {
        Self {
            dial,
            host: dial.address.to_string().into(),
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping this future closes the connection, which makes the other daemon
    /// cancel the request.
    pub(super) async fn request(
        &self,
        path: &str,
        body: &PlainBody,
    ) -> Result<(ResponseHead, HttpStream), RequestError> {
        let head = request_head(path, &self.host, body.len());
        while let Some(stream) = self.take_idle() {
            let mut http = HttpStream::new(stream);
            match http.send(&head, body).await {
                Ok(()) => return receive_head(http).await,
                Err(e) if e.any_sent => return Err(RequestError::no_answer(&e.cause)),
                // The other end closed the connection while it was idle.
                Err(_) => {}
            }
        }
        let stream = self.dial.connect().await;
        let mut http = HttpStream::new(stream.map_err(|e| RequestError::not_connected(&e))?);
        let result = http.send(&head, body).await;
        result.map_err(|e| RequestError::no_answer(&e.cause))?;
        receive_head(http).await
    }

    /// Removes and returns the most recently used connection that is still open.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        while let Some(IdleConnection { stream, .. }) = idle.pop_back() {
            let unread = stream.try_read(&mut [0]);
            if matches!(unread, Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(super) fn put_back(&self, http: HttpStream) {
        let Some(stream) = http.into_idle() else {
            return;
        };
        let since = Instant::now();
        let mut idle = self.idle.lock();
        idle.push_back(IdleConnection { stream, since });
        close_expired(&mut idle, since);
    }

    /// Closes connections that were idle for too long; otherwise this happens only
    /// when a connection is returned.
    pub(super) fn trim(&self) {
        let mut idle = self.idle.lock();
        close_expired(&mut idle, Instant::now());
        if idle.is_empty() {
            idle.shrink_to_fit();
        }
    }
}

async fn receive_head(mut http: HttpStream) -> Result<(ResponseHead, HttpStream), RequestError> {
    let head = http.read_response().await;
    Ok((head.map_err(|e| RequestError::no_answer(&e))?, http))
}

fn close_expired(idle: &mut VecDeque<IdleConnection>, now: Instant) {
    let expired = |idle: &IdleConnection| now.saturating_duration_since(idle.since) > MAX_IDLE_TIME;
    while idle.len() > MAX_IDLE_CONNECTIONS || idle.front().is_some_and(expired) {
        idle.pop_front();
    }
}
