//! An HTTP client.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::dialer::set_keepalive;

/// Time after which an idle connection is closed; short, since the next request
/// fails on a connection that a middlebox has dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection was established; nothing was sent.
    Connect(Box<str>),
    /// The request may have arrived, but no complete answer came back.
    NoAnswer(Box<str>),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::NoAnswer(cause) => write!(f, "no complete answer: {cause}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A client that reads each answer whole.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    max_size: usize,
}

impl Client {
    /// Creates a client; an answer may have at most `max_size` bytes and must be
    /// complete within `timeout`.
    pub fn new(timeout: Duration, max_size: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        connector.set_nodelay(true);
        set_keepalive(&mut connector);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(64)
            .build(connector);
        Self {
            pool,
            timeout,
            max_size,
        }
    }

    /// Sends a request and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Fails without a complete answer; the error says whether the request may have
    /// arrived.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        self.send_within(request, self.timeout).await
    }

    /// Sends a request and waits for the complete answer, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails without a complete answer; the error says whether the request may have
    /// arrived.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, ClientError> {
        let exchange = async {
            let answer = self.pool.request(request).await.map_err(|e| {
                let cause = error_chain(&e);
                if e.is_connect() {
                    ClientError::Connect(cause)
                } else {
                    ClientError::NoAnswer(cause)
                }
            })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, self.max_size)
                .collect()
                .await
                .map_err(|e| ClientError::NoAnswer(e.to_string().into()))?
                .to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(ClientError::NoAnswer("timeout".into())),
        }
    }
}

fn error_chain(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text.into()
}
