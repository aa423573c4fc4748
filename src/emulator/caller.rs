//! Callers: an open load of requests, and what became of each.

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

use super::TAG;
use crate::entry::{REASON_HEADER, VERDICT_HEADER};
use crate::model::ServiceName;
use crate::web::{Answer, Client};

/// Calls that one load may have out; more are counted as shed by the caller.
const MAX_OUT: usize = 4096;

/// What a caller saw of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The whole answer to its own request.
    Whole,
    /// It was told that the request was shed.
    Shed,
    /// It was told of a failure.
    Failed,
    /// Somebody else's answer, or one that was not whole.
    Wrong,
}

/// One request that ended.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What the caller saw.
    pub seen: Seen,
}

/// All requests of one load.
#[derive(Debug, Default)]
pub struct Tally {
    samples: Mutex<Vec<Sample>>,
}

impl Tally {
    /// Returns the samples so far.
    pub fn samples(&self) -> Vec<Sample> {
        self.samples.lock().clone()
    }

    fn add(&self, sample: Sample) {
        self.samples.lock().push(sample);
    }
}

/// A load of one kind of request.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service.
    pub service: ServiceName,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: Box<str>,
    /// Whether each request bears an idempotency key.
    pub once: bool,
    /// Size of the body, in bytes.
    pub body: usize,
    /// Bytes that a whole answer has.
    pub answer: usize,
    /// How often a request that was not run is sent again, without back-off.
    pub repeats: u32,
}

/// Sends requests at `rate` a second, which may change, until `stop` is due.
///
/// Requests are sent whether or not earlier ones have ended, to one of
/// `entries` at random.
pub async fn run_load(
    load: Load,
    entries: Arc<Vec<SocketAddr>>,
    rate: impl Fn(Instant) -> f64,
    stop: Instant,
    seed: u64,
    tally: Arc<Tally>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::new(Duration::from_secs(5), 16 * 1024 * 1024);
    let load = Arc::new(load);
    let mut next = Instant::now();
    let mut number: u64 = 0;
    while next < stop {
        tokio::time::sleep_until(next).await;
        let now_rate = rate(next).max(0.1);
        let gap = -rng.random::<f64>().max(1e-9).ln() / now_rate;
        next += Duration::from_secs_f64(gap.min(1.0));
        number += 1;
        let place = rng.random_range(0..entries.len());
        let request = One {
            load: Arc::clone(&load),
            entry: entries[place],
            tag: format!("{}-{seed}-{number}", load.service),
        };
        let (client, tally) = (client.clone(), Arc::clone(&tally));
        if Arc::strong_count(&tally) > MAX_OUT {
            continue;
        }
        tokio::spawn(async move {
            let sent = Instant::now();
            let seen = request.run(&client).await;
            let ended = Instant::now();
            tally.add(Sample { sent, ended, seen });
        });
    }
}

struct One {
    load: Arc<Load>,
    entry: SocketAddr,
    tag: String,
}

impl One {
    async fn run(&self, client: &Client) -> Seen {
        let key = self.load.once.then(|| uuid::Uuid::now_v7().to_string());
        let mut seen = Seen::Failed;
        for attempt in 0..=self.load.repeats {
            let Some(request) = self.request(key.as_deref(), attempt + 1) else {
                return Seen::Failed;
            };
            seen = match client.send(request).await {
                Ok(answer) => self.judge(&answer),
                Err(_) => Seen::Failed,
            };
            if matches!(seen, Seen::Whole | Seen::Wrong) {
                return seen;
            }
        }
        seen
    }

    fn request(&self, key: Option<&str>, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.entry, self.load.path);
        let mut request = Request::new(Full::new(vec![b'y'; self.load.body].into()));
        *request.method_mut() = self.load.method.clone();
        *request.uri_mut() = uri.parse().ok()?;
        let headers = request.headers_mut();
        headers.insert(
            HOST,
            HeaderValue::from_str(self.load.service.as_str()).ok()?,
        );
        headers.insert(TAG, HeaderValue::from_str(&self.tag).ok()?);
        headers.insert(crate::entry::ATTEMPT_HEADER, HeaderValue::from(attempt));
        if let Some(key) = key {
            let name = HeaderName::from_static("idempotency-key");
            headers.insert(name, HeaderValue::from_str(key).ok()?);
        }
        Some(request)
    }

    fn judge(&self, answer: &Answer) -> Seen {
        if answer.headers.contains_key(VERDICT_HEADER) {
            let reason = answer
                .headers
                .get(REASON_HEADER)
                .and_then(|r| r.to_str().ok());
            return match reason {
                Some("overload" | "downstream-overload" | "deadline") => Seen::Shed,
                _ => Seen::Failed,
            };
        }
        if !answer.status.is_success() {
            return Seen::Failed;
        }
        let own = answer.headers.get(TAG).is_some_and(|tag| tag == &*self.tag);
        if own && answer.body.len() == self.load.answer {
            Seen::Whole
        } else {
            Seen::Wrong
        }
    }
}
