//! Connections to one daemon, each of which carries one plain request at a
//! time and holds no buffer between two.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::http_head::{ResponseHead, request_head};
use super::http_stream::HttpStream;
use crate::web::Dial;

/// Idle connections that are kept to one daemon.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// How long a connection may be idle.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Why there is no answer.
#[derive(Debug)]
pub(super) struct RequestError {
    /// Whether a connection was made, so that the request may have arrived.
    pub(super) connected: bool,
    /// The cause.
    pub(super) cause: Box<str>,
}

impl RequestError {
    /// Makes one of a request that may have arrived.
    pub(super) fn no_answer(cause: &dyn std::fmt::Display) -> Self {
        let cause = format!("no answer: {cause}").into();
        let connected = true;
        Self { connected, cause }
    }

    fn not_connected(cause: &io::Error) -> Self {
        let cause = format!("cannot connect: {cause}").into();
        let connected = false;
        Self { connected, cause }
    }
}

/// A connection that was given back.
#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Connections to one daemon.
///
/// The one used last is used first, since the other end is the least likely to
/// have closed or forgotten it.
#[derive(Debug)]
pub(super) struct PlainPool {
    dial: Dial,
    host: Box<str>,
    idle: Mutex<VecDeque<IdleConnection>>,
}

impl PlainPool {
    /// Makes a set without any connection.
    pub(super) fn new(dial: Dial) -> Self {
        Self {
            dial,
            host: dial.address.to_string().into(),
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// If this future is dropped its connection ends, which tells the other
    /// daemon to give the request up.
    pub(super) async fn request(
        &self,
        path: &str,
        body: &[u8],
    ) -> Result<(ResponseHead, HttpStream), RequestError> {
        let head = request_head(path, &self.host, body.len());
        while let Some(stream) = self.take_idle() {
            let mut http = HttpStream::new(stream);
            match http.send(&head, body).await {
                Ok(()) => return receive_head(http).await,
                Err(e) if e.any_sent => return Err(RequestError::no_answer(&e.cause)),
                // The other end had closed the connection.
                Err(_) => {}
            }
        }
        let stream = self.dial.connect().await;
        let mut http = HttpStream::new(stream.map_err(|e| RequestError::not_connected(&e))?);
        let result = http.send(&head, body).await;
        result.map_err(|e| RequestError::no_answer(&e.cause))?;
        receive_head(http).await
    }

    /// Takes out the connection that was used last of those that are open.
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

    /// Gives a connection back whose answer was read whole.
    pub(super) fn put_back(&self, http: HttpStream) {
        let Some(stream) = http.into_idle() else {
            return;
        };
        let since = Instant::now();
        let mut idle = self.idle.lock();
        idle.push_back(IdleConnection { stream, since });
        close_expired(&mut idle, since);
    }

    /// Closes connections that have been idle for too long, which is otherwise
    /// done only when one is given back.
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
