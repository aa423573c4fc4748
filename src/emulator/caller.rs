//! Callers that send an open-loop workload and record the outcome of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::TAG_HEADER;
use crate::entry::{REASON_HEADER, VERDICT_HEADER};
use crate::model::ServiceName;
use crate::web::{Answer, Client};

/// Approximate limit of concurrent requests of a workload. Further requests are
/// neither sent nor recorded.
const MAX_CONCURRENT_REQUESTS: usize = 4096;

/// Outcome of a request as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete answer to the caller's own request.
    Complete,
    /// A refusal because of overload or a missed deadline.
    Shed,
    /// Any other refusal, an error status or no answer.
    Failed,
    /// The answer to another request, or one of the wrong length.
    Wrong,
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the request was first sent.
    pub start: Instant,
    /// When the last attempt ended.
    pub end: Instant,
    /// The outcome of the last attempt.
    pub outcome: CallerOutcome,
}

/// The finished requests of a workload.
#[derive(Debug, Default)]
pub struct SampleLog {
    samples: Mutex<Vec<Sample>>,
}

impl SampleLog {
    /// Returns the samples recorded so far.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.lock().clone()
    }

    fn add(&self, sample: Sample) {
        self.samples.lock().push(sample);
    }
}

/// The requests that a group of callers sends, all of one kind.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The called service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: Method,
    /// The request's path.
    pub path: Box<str>,
    /// Whether each request has an idempotency key.
    pub with_key: bool,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Size of the body of a complete answer.
    pub answer_bytes: usize,
    /// Largest number of retries of a shed or failed request, without back-off.
    pub max_retries: u32,
}

/// Sends requests to random `entries` until `stop`.
///
/// Requests start at random intervals, `rate` per second on average, whether or
/// not earlier ones have ended.
pub async fn run_workload(
    workload: Workload,
    entries: Arc<Vec<SocketAddr>>,
    rate: impl Fn(Instant) -> f64,
    stop: Instant,
    seed: u64,
    samples: Arc<SampleLog>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::new(Duration::from_secs(5), 16 * 1024 * 1024);
    let workload = Arc::new(workload);
    let mut next = Instant::now();
    let mut number: u64 = 0;
    while next < stop {
        tokio::time::sleep_until(next).await;
        let current_rate = rate(next).max(0.1);
        let gap = -rng.random::<f64>().max(1e-9).ln() / current_rate;
        next += Duration::from_secs_f64(gap.min(1.0));
        number += 1;
        let index = rng.random_range(0..entries.len());
        let request = TaggedRequest {
            workload: Arc::clone(&workload),
            entry: entries[index],
            tag: format!("{}-{seed}-{number}", workload.service),
        };
        let (client, samples) = (client.clone(), Arc::clone(&samples));
        if Arc::strong_count(&samples) > MAX_CONCURRENT_REQUESTS {
            continue;
        }
        tokio::spawn(async move {
            let start = Instant::now();
            let outcome = request.send(&client).await;
            let end = Instant::now();
            samples.add(Sample {
                start,
                end,
                outcome,
            });
        });
    }
}

struct TaggedRequest {
    workload: Arc<Workload>,
    entry: SocketAddr,
    tag: String,
}

impl TaggedRequest {
    async fn send(&self, client: &Client) -> CallerOutcome {
        let key = self
            .workload
            .with_key
            .then(|| uuid::Uuid::now_v7().to_string());
        let mut outcome = CallerOutcome::Failed;
        for attempt in 0..=self.workload.max_retries {
            let Some(request) = self.build_request(key.as_deref(), attempt + 1) else {
                return CallerOutcome::Failed;
            };
            outcome = match client.send(request).await {
                Ok(answer) => self.classify(&answer),
                Err(_) => CallerOutcome::Failed,
            };
            if matches!(outcome, CallerOutcome::Complete | CallerOutcome::Wrong) {
                return outcome;
            }
        }
        outcome
    }

    fn build_request(&self, key: Option<&str>, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.entry, self.workload.path);
        let mut request = Request::new(Full::new(vec![b'y'; self.workload.body_bytes].into()));
        *request.method_mut() = self.workload.method.clone();
        *request.uri_mut() = uri.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(
            HOST,
            HeaderValue::from_str(self.workload.service.as_str()).ok()?,
        );
        headers.insert(TAG_HEADER, HeaderValue::from_str(&self.tag).ok()?);
        headers.insert(crate::entry::ATTEMPT_HEADER, HeaderValue::from(attempt));
        if let Some(key) = key {
            let name = HeaderName::from_static("idempotency-key");
            headers.insert(name, HeaderValue::from_str(key).ok()?);
        }
        Some(request)
    }

    fn classify(&self, answer: &Answer) -> CallerOutcome {
        if answer.headers.contains_key(VERDICT_HEADER) {
            let reason = answer
                .headers
                .get(REASON_HEADER)
                .and_then(|r| r.to_str().ok());
            return match reason {
                Some("overload" | "downstream-overload" | "deadline") => CallerOutcome::Shed,
                _ => CallerOutcome::Failed,
            };
        }
        if !answer.status.is_success() {
            return CallerOutcome::Failed;
        }
        let is_own = answer
            .headers
            .get(TAG_HEADER)
            .is_some_and(|tag| tag == &*self.tag);
        if is_own && answer.body.len() == self.workload.answer_bytes {
            CallerOutcome::Complete
        } else {
            CallerOutcome::Wrong
        }
    }
}
