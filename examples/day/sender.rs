//! Sends requests of callers and calls of servers through the daemons.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::RequestError;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout};

use crate::World;
use crate::record::{Exchange, Outcome};
use crate::vm::{Pool, connect};

/// Share of callers' requests that they leave before an answer.
const LEAVE_SHARE: f64 = 0.03;
/// Seconds after which they leave.
const LEAVE_AFTER_S: std::ops::Range<f64> = 0.05..0.7;
/// Statuses after which a caller tries a request again that may not run twice.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time that must be left for another try.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// Sends a request of a class to a VM's daemon and records what comes back. The sender
/// waits for as long as it says. Returns the status, or `None` without a whole answer.
pub(crate) async fn send(
    world: &World,
    pool: &Pool,
    (vm, class): (usize, &str),
    id: &str,
    wait: Duration,
) -> Option<u16> {
    let bytes = vec![b'x'; world.site.classes[class].request_bytes];
    let mut request = Request::builder()
        .method(&*world.site.classes[class].method)
        .uri(format!("/{class}/{}", &id[id.len() - 3..]))
        .header("host", "a.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", wait.as_millis().to_string());
    if !bytes.is_empty() {
        request = request.header("content-length", bytes.len());
    }
    let request = request.body(Full::new(Bytes::from(bytes))).ok()?;
    let sent = world.record.now();
    let exchange = Exchange {
        vm,
        class: class.into(),
        sent,
        deadline: sent + wait,
        end: None,
        runs: Vec::new(),
    };
    world.record.exchanges.lock().insert(id.into(), exchange);
    let outcome = timeout(wait, receive(pool, request)).await;
    let outcome = outcome.unwrap_or(Outcome::Waited);
    let status = match outcome {
        Outcome::Signed(status) | Outcome::Own(status, _) => Some(status),
        _ => None,
    };
    let end = world.record.now();
    world
        .record
        .update(id, |exchange| exchange.end = Some((end, outcome)));
    status
}

async fn receive(pool: &Pool, request: Request<Full<Bytes>>) -> Outcome {
    let answer = match pool.request(request).await {
        Ok(answer) => answer,
        Err(RequestError::Connect(_)) => return Outcome::Unreached,
        Err(RequestError::NoAnswer(e)) => return Outcome::Cut(e.to_string().into()),
    };
    let (head, body) = answer.into_parts();
    let status = head.status.as_u16();
    match body.collect().await {
        Ok(_) if head.headers.contains_key("x-server-signature") => Outcome::Signed(status),
        Ok(body) => {
            let body = body.to_bytes();
            Outcome::Own(status, String::from_utf8_lossy(&body).trim().into())
        }
        Err(e) => Outcome::Cut(format!("in the body: {e}").into()),
    }
}

/// Sends requests of one class from one zone until `end`, at random moments.
pub(crate) async fn run_callers(
    world: Arc<World>,
    (zone, class): (Box<str>, Box<str>),
    rate: f64,
    end: Instant,
) {
    while Instant::now() < end {
        let pause = -world.draw(1e-9..1.0).ln() / rate;
        sleep(Duration::from_secs_f64(pause)).await;
        let (world, zone, class) = (Arc::clone(&world), zone.clone(), class.clone());
        tokio::spawn(async move {
            let calling = call(&world, &zone, &class);
            let leaves = world.random.lock().random_bool(LEAVE_SHARE);
            if leaves {
                let patience = Duration::from_secs_f64(world.draw(LEAVE_AFTER_S));
                let _ = timeout(patience, calling).await;
            } else {
                calling.await;
            }
        });
    }
}

/// Sends one request of a caller, with its retries.
async fn call(world: &World, zone: &str, name: &str) {
    let class = &world.site.classes[name];
    let deadline = Instant::now() + class.deadline();
    for _ in 0..=class.retries {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < MIN_TIME_LEFT {
            return;
        }
        let vm = world.choose_vm(zone);
        let is_fresh = class.fresh_connections;
        let fresh = is_fresh.then(|| connect(world.vms[vm].callers, 0));
        let pool = fresh.as_ref().unwrap_or(&world.vms[vm].caller_pool);
        let status = send(world, pool, (vm, name), &world.new_id(), left).await;
        let not_run = status.is_some_and(|status| NOT_RUN.contains(&status));
        let failed = status.is_none_or(|status| status >= 500);
        let repeats = not_run || failed && class.is_safe();
        if !repeats {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}
