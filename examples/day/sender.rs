//! Sends requests of callers and calls of servers through the daemons.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::RequestError;
use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use crate::World;
use crate::record::{Exchange, Outcome};
use crate::site::{Class, Kind, Traffic};
use crate::vm::{Pool, connect};

/// Share of callers' requests that they leave before an answer.
const LEAVE_SHARE: f64 = 0.03;
/// Seconds after which they leave.
const LEAVE_AFTER_S: std::ops::Range<f64> = 0.05..0.7;
/// Statuses after which a caller tries a request again that may not run twice.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Pause before another try, unless the answer names one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time that must be left for another try.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// The answer of a request as its sender goes on with it.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    /// The status, or `None` without a whole answer.
    pub(crate) status: Option<u16>,
    /// The pause that the answer names.
    retry_after: Option<Duration>,
}

/// Sends a request of `class` to a VM's daemon and records what comes back. The sender
/// waits for as long as it says.
pub(crate) async fn send(
    world: &World,
    pool: &Pool,
    (vm, class): (usize, usize),
    id: &str,
    wait: Duration,
) -> Reply {
    let sent = Instant::now();
    let exchange = Exchange {
        vm,
        class,
        sent,
        wait,
        end: None,
        runs: Vec::new(),
    };
    let sending = world.record.send(id, exchange);
    let request = request_of(&world.site.classes[class], id, wait);
    let answer = timeout_at(sent + wait, exchange_with(pool, request)).await;
    let (outcome, retry_after) = answer.unwrap_or((Outcome::Waited, None));
    let status = match outcome {
        Outcome::Answer { status, .. } => Some(status),
        _ => None,
    };
    sending.finish(outcome);
    Reply {
        status,
        retry_after,
    }
}

fn request_of(class: &Class, id: &str, wait: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(&*class.method)
        .uri(format!("/{}/{}", class.name, &id[id.len() - 3..]))
        .header("host", "a.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", wait.as_millis().to_string());
    if class.request_bytes > 0 {
        request = request.header("content-length", class.request_bytes);
    }
    request
        .body(Full::new(Bytes::from(vec![b'x'; class.request_bytes])))
        .expect("a method, path and headers of the site")
}

async fn exchange_with(pool: &Pool, request: Request<Full<Bytes>>) -> (Outcome, Option<Duration>) {
    let answer = match pool.request(request).await {
        Ok(answer) => answer,
        Err(RequestError::Connect(_)) => return (Outcome::Unreached, None),
        Err(RequestError::NoAnswer(e)) => return (Outcome::Cut(e.to_string().into()), None),
    };
    let (head, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return (Outcome::Cut(format!("in the body: {e}").into()), None),
    };
    let signed = head.headers.contains_key("x-server-signature");
    let text = if signed {
        Box::default()
    } else {
        String::from_utf8_lossy(&body).trim().into()
    };
    let outcome = Outcome::Answer {
        status: head.status.as_u16(),
        signed,
        text,
    };
    (outcome, retry_after(&head.headers))
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("retry-after")?.to_str().ok()?;
    Some(Duration::from_secs_f64(text.parse().ok()?))
}

/// Sends requests of one class from one zone until `end`, at random moments.
pub(crate) async fn run_callers(
    world: Arc<World>,
    traffic: usize,
    class: usize,
    load: f64,
    end: Instant,
) {
    let from = &world.site.traffic[traffic];
    let rate = load * rate_of(from, &world.site.classes[class]);
    while rate > 0.0 && Instant::now() < end {
        let pause = -world.draw(1e-9..1.0).ln() / rate;
        sleep(Duration::from_secs_f64(pause)).await;
        tokio::spawn(call(Arc::clone(&world), traffic, class));
    }
}

fn rate_of(traffic: &Traffic, class: &Class) -> f64 {
    let total: f64 = traffic.mix.values().sum();
    let weight = traffic.mix.get(&class.name).copied().unwrap_or_default();
    traffic.rate * weight / total
}

/// Sends one request of a caller, with its retries; some callers leave.
async fn call(world: Arc<World>, traffic: usize, class: usize) {
    let leaves = world.random.lock().random_bool(LEAVE_SHARE);
    let patience = Duration::from_secs_f64(world.draw(LEAVE_AFTER_S));
    let attempts = attempt(&world, traffic, class);
    if leaves {
        let _ = tokio::time::timeout(patience, attempts).await;
    } else {
        attempts.await;
    }
}

async fn attempt(world: &World, traffic: usize, index: usize) {
    let class = &world.site.classes[index];
    let deadline = Instant::now() + class.deadline();
    for _ in 0..=class.retries {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < MIN_TIME_LEFT {
            return;
        }
        let vm = world.choose_vm(&world.site.traffic[traffic].zone);
        let fresh;
        let pool = if class.fresh_connections {
            fresh = connect(world.vms[vm].callers, 0);
            &fresh
        } else {
            &world.vms[vm].caller_pool
        };
        let reply = send(world, pool, (vm, index), &world.new_id(), left).await;
        let repeats = match reply.status {
            Some(status) => status >= 500 || NOT_RUN.contains(&status),
            None => true,
        };
        let is_safe = class.kind == Kind::Idempotent;
        let not_run = reply.status.is_some_and(|status| NOT_RUN.contains(&status));
        if !repeats || !(is_safe || not_run) {
            return;
        }
        sleep(reply.retry_after.unwrap_or(RETRY_PAUSE).min(left / 3)).await;
    }
}
