//! Asking by HTTP.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::dialer::set_keepalive;

/// How long an idle connection is kept; short, since a connection that
/// something between has forgotten fails the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an answer did not come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection was made; nothing was sent.
    Connect(Box<str>),
    /// The request may have arrived; no whole answer came.
    NoAnswer(Box<str>),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::NoAnswer(cause) => write!(f, "no whole answer: {cause}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// A client for small requests with whole answers.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    max_size: usize,
}

impl Client {
    /// Makes a client; answers may have at most `limit` bytes and take
    /// `timeout`.
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

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
        self.send_within(request, self.timeout).await
    }

    /// Sends a request and waits for the whole answer, for `timeout` at most.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
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
