//! Connections to one daemon, each of which carries one plain request at a
//! time and holds no buffer between two.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::end::End;
use super::heads::{Answer, request_head};
use crate::web::Dial;

/// Idle connections that are kept to one daemon.
const MAX_IDLE: usize = 16;
/// How long a connection may be idle.
const IDLE: Duration = Duration::from_secs(5);

/// Why there is no answer.
#[derive(Debug)]
pub(super) struct Failed {
    /// Whether a connection was made, so that the request may have arrived.
    pub(super) connected: bool,
    /// The cause.
    pub(super) cause: Box<str>,
}

impl Failed {
    /// Makes one of a request that may have arrived.
    pub(super) fn lost(cause: &dyn std::fmt::Display) -> Self {
        let cause = format!("no answer: {cause}").into();
        let connected = true;
        Self { connected, cause }
    }

    fn unsent(cause: &io::Error) -> Self {
        let cause = format!("cannot connect: {cause}").into();
        let connected = false;
        Self { connected, cause }
    }
}

/// A connection that was given back.
#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// Connections to one daemon.
///
/// The one used last is used first, since the other end is the least likely to
/// have closed or forgotten it.
#[derive(Debug)]
pub(super) struct Lines {
    dial: Dial,
    host: Box<str>,
    idle: Mutex<VecDeque<Idle>>,
}

impl Lines {
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
    pub(super) async fn request(&self, path: &str, body: &[u8]) -> Result<(Answer, End), Failed> {
        let head = request_head(path, &self.host, body.len());
        while let Some(stream) = self.take() {
            let mut end = End::new(stream);
            match end.send(&head, body).await {
                Ok(()) => return answer(end).await,
                Err(e) if e.sent => return Err(Failed::lost(&e.cause)),
                // The other end had closed the connection.
                Err(_) => {}
            }
        }
        let stream = self.dial.connect().await;
        let mut end = End::new(stream.map_err(|e| Failed::unsent(&e))?);
        let sent = end.send(&head, body).await;
        sent.map_err(|e| Failed::lost(&e.cause))?;
        answer(end).await
    }

    /// Takes out the connection that was used last of those that are open.
    fn take(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock();
        while let Some(Idle { stream, .. }) = idle.pop_back() {
            let unread = stream.try_read(&mut [0]);
            if matches!(unread, Err(e) if e.kind() == io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    /// Gives a connection back whose answer was read whole.
    pub(super) fn put_back(&self, end: End) {
        let Some(stream) = end.into_clean() else {
            return;
        };
        let since = Instant::now();
        let mut idle = self.idle.lock();
        idle.push_back(Idle { stream, since });
        close_old(&mut idle, since);
    }

    /// Closes connections that have been idle for too long, which is otherwise
    /// done only when one is given back.
    pub(super) fn trim(&self) {
        let mut idle = self.idle.lock();
        close_old(&mut idle, Instant::now());
        if idle.is_empty() {
            idle.shrink_to_fit();
        }
    }
}

async fn answer(mut end: End) -> Result<(Answer, End), Failed> {
    let answer = end.read_answer().await;
    Ok((answer.map_err(|e| Failed::lost(&e))?, end))
}

fn close_old(idle: &mut VecDeque<Idle>, now: Instant) {
    let old = |kept: &Idle| now.saturating_duration_since(kept.since) > IDLE;
    while idle.len() > MAX_IDLE || idle.front().is_some_and(old) {
        idle.pop_front();
    }
}
