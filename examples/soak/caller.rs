//! Callers that send one request after the other over a kept-alive connection.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{ConnectionPool, Dialer, PoolLimits, RequestError};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::estate::{Addresses, DEADLY_PATH, MOVED_PATH, READ_PATH, WRITE_PATH, deadly_number};
use crate::record::{Outcome, Record};

/// How long a caller waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_secs(3);
/// Mean pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Percentage of reads that their callers abandon.
const ABANDONED_PERCENT: u32 = 4;
/// How long callers wait before they abandon a request.
const ABANDON_DELAY: Duration = Duration::from_millis(150);

/// The body of all deadly requests.
pub(crate) const DEADLY_BODY: &str = "deadly";
/// Mean pause between two sends of the same deadly request.
const DEADLY_PAUSE: Duration = Duration::from_millis(300);
/// How long the same deadly request is sent before the next one.
const DEADLY_PERIOD: Duration = Duration::from_secs(12);
/// A `Retry-After` above this marks a deadly request that is held; under overload
/// it is a second or two.
const MIN_HOLD_SECONDS: f64 = 60.0;

/// Returns the seconds in the `Retry-After` header, or 0.
fn retry_after_seconds(headers: &HeaderMap) -> f64 {
    let told = headers.get("retry-after").and_then(|at| at.to_str().ok());
    told.and_then(|at| at.parse().ok()).unwrap_or_default()
}

/// Returns the body of an ordinary request.
pub(crate) fn request_body(id: &str) -> String {
    format!("body of {id}")
}

/// One caller of a VM's daemon.
pub(crate) struct Caller {
    vm: usize,
    name: String,
    rng: StdRng,
    connections: ConnectionPool<Full<Bytes>>,
    record: Arc<Record>,
}

impl Caller {
    pub(crate) fn new(
        vm: usize,
        index: usize,
        seed: u64,
        at: &Addresses,
        record: Arc<Record>,
    ) -> Self {
        let dialer = Dialer {
            address: at.callers,
            local_ip: None,
            timeout: Duration::from_secs(1),
            ack_timeout: None,
        };
        let limits = PoolLimits {
            max_idle: 1,
            idle_timeout: Duration::from_secs(60),
        };
        Self {
            vm,
            name: format!("c{vm}x{index}"),
            rng: StdRng::seed_from_u64(seed ^ (vm * 1000 + index) as u64),
            connections: ConnectionPool::new(dialer, limits),
            record,
        }
    }

    /// Sends requests until `stop` is set.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let id = format!("{}n{count}", self.name);
            let path = match self.rng.random_range(0..10) {
                0..5 => READ_PATH,
                5..8 => WRITE_PATH,
                _ => MOVED_PATH,
            };
            let abandons = path == READ_PATH && self.rng.random_ratio(ABANDONED_PERCENT, 100);
            let timeout = if abandons { ABANDON_DELAY } else { DEADLINE };
            self.record.record_sent(&id, self.vm, path, None);
            let target = format!("{path}{id}");
            let body = request_body(&id);
            let sending = self.send(&id, &target, &body);
            let outcome = match tokio::time::timeout(timeout, sending).await {
                Ok(outcome) => outcome,
                Err(_) if abandons => Outcome::Left,
                Err(_) => Outcome::Cut,
            };
            self.record.record_outcome(&id, outcome);
            tokio::time::sleep(REQUEST_PAUSE.mul_f64(self.rng.random_range(0.5..1.5))).await;
        }
    }

    /// Repeats a deadly request until `stop` is set, with a new one every
    /// `DEADLY_PERIOD`.
    ///
    /// No new one starts after `end`, since its crashes would be further faults.
    pub(crate) async fn repeat_deadly_request(mut self, stop: watch::Receiver<bool>, end: Instant) {
        let (start, mut count) = (Instant::now(), 0);
        while !*stop.borrow() {
            count += 1;
            let elapsed = Instant::now().min(end).saturating_duration_since(start);
            let deadly = elapsed.as_secs() / DEADLY_PERIOD.as_secs();
            let id = format!("{}d{count}", self.name);
            let target = format!("{DEADLY_PATH}{deadly}");
            self.record
                .record_sent(&id, self.vm, DEADLY_PATH, Some(deadly));
            let sending = self.send(&id, &target, DEADLY_BODY);
            let outcome = tokio::time::timeout(DEADLINE, sending).await;
            self.record
                .record_outcome(&id, outcome.unwrap_or(Outcome::Cut));
            tokio::time::sleep(DEADLY_PAUSE.mul_f64(self.rng.random_range(0.5..1.5))).await;
        }
    }

    async fn send(&self, id: &str, target: &str, body: &str) -> Outcome {
        let mut request = Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = target.parse().expect("valid path");
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("a.example"));
        headers.insert("x-caller-service", HeaderValue::from_static("forged"));
        headers.insert(
            "x-request-id",
            HeaderValue::from_str(id).expect("valid header value"),
        );
        headers.insert(
            "x-deadline-ms",
            HeaderValue::from(DEADLINE.as_millis() as u64),
        );
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
        let answer_id = head
            .headers
            .get("x-request-id")
            .and_then(|value| value.to_str().ok());
        let signed = head.headers.contains_key("x-server-signature");
        let whole = *body.to_bytes() == *format!("answer to {id}").as_bytes();
        if retry_after_seconds(&head.headers) > MIN_HOLD_SECONDS && deadly_number(target).is_none()
        {
            self.record.held_ids.lock().push(id.to_owned());
        }
        // Refusals by the daemon itself may omit the id.
        let id_fits = answer_id.is_none_or(|value| value == id);
        Outcome::Answered {
            status: head.status.as_u16(),
            signed,
            fits: if head.status.is_success() {
                answer_id == Some(id) && whole
            } else {
                id_fits
            },
        }
    }
}
