//! Sends requests to the daemon of a VM over kept connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{ConnectionPool, Dialer, PoolLimits, RequestError};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, timeout_at};

use crate::estate::{answer_body, deadly_number};
use crate::record::{Outcome, Record};

/// A `Retry-After` above this marks a deadly request that is held; under overload
/// it is a second or two.
const MIN_HOLD_SECONDS: f64 = 60.0;

/// Returns the seconds in the `Retry-After` header, or 0.
fn retry_after_seconds(headers: &HeaderMap) -> f64 {
    let told = headers.get("retry-after").and_then(|at| at.to_str().ok());
    told.and_then(|at| at.parse().ok()).unwrap_or_default()
}

/// The connections of one caller, or of one backend server, to the daemon of its VM.
#[derive(Debug)]
pub(crate) struct Sender {
    pub(crate) vm: usize,
    pub(crate) record: Arc<Record>,
    connections: ConnectionPool<UnsyncBoxBody<Bytes, Infallible>>,
}

impl Sender {
    /// Creates a sender that keeps up to `max_idle` connections.
    pub(crate) fn new(
        vm: usize,
        callers: SocketAddr,
        max_idle: usize,
        record: Arc<Record>,
    ) -> Self {
        let dialer = Dialer {
            address: callers,
            local_ip: None,
            timeout: Duration::from_secs(1),
            ack_timeout: None,
        };
        let limits = PoolLimits {
            max_idle,
            idle_timeout: Duration::from_secs(60),
        };
        Self {
            vm,
            record,
            connections: ConnectionPool::new(dialer, limits),
        }
    }

    /// Sends a recorded request and returns how it ended, at `deadline` at the latest.
    pub(crate) async fn send(
        &self,
        id: &str,
        target: &str,
        body: String,
        deadline: Instant,
    ) -> Outcome {
        let sending = self.exchange(id, target, body, deadline);
        let outcome = timeout_at(deadline, sending).await;
        outcome.unwrap_or(Outcome::Cut)
    }

    async fn exchange(&self, id: &str, target: &str, body: String, deadline: Instant) -> Outcome {
        let wait = deadline.saturating_duration_since(Instant::now());
        let request = self.request(id, target, body, wait);
        let answer = match self.connections.request(request).await {
            Ok(answer) => answer,
            Err(RequestError::Connect(_)) => return Outcome::Unreached,
            Err(RequestError::NoAnswer(_)) => return Outcome::Cut,
        };
        let (head, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return Outcome::Cut;
        };
        self.record.notices.record_relay(self.vm, &head.headers);
        if retry_after_seconds(&head.headers) > MIN_HOLD_SECONDS && deadly_number(target).is_none()
        {
            self.record.held_ids.lock().push(id.to_owned());
        }
        let answer_id = head.headers.get("x-request-id");
        let answer_id = answer_id.and_then(|value| value.to_str().ok());
        Outcome::Answered {
            status: head.status.as_u16(),
            signed: head.headers.contains_key("x-server-signature"),
            fits: if head.status.is_success() {
                answer_id == Some(id) && body.to_bytes() == answer_body(target, id)
            } else {
                // Refusals by the daemon itself may omit the id.
                answer_id.is_none_or(|value| value == id)
            },
        }
    }

    fn request(
        &self,
        id: &str,
        target: &str,
        body: String,
        wait: Duration,
    ) -> Request<UnsyncBoxBody<Bytes, Infallible>> {
        let length = body.len();
        let (record, sent_id) = (Arc::clone(&self.record), id.to_owned());
        let body = Full::new(Bytes::from(body)).map_frame(move |frame| {
            record.record_sent_whole(&sent_id);
            frame
        });
        let mut request = Request::new(body.boxed_unsync());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = target.parse().expect("valid path");
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("a.example"));
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        headers.insert("x-caller-service", HeaderValue::from_static("forged"));
        headers.insert(
            "x-request-id",
            HeaderValue::from_str(id).expect("valid header value"),
        );
        headers.insert("x-deadline-ms", HeaderValue::from(wait.as_millis() as u64));
        request
    }
}
