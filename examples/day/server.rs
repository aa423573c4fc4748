//! A backend server: slots, a queue, and calls through its own VM's daemon.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::emulator::free_address_on;
use bramleymount::web::{CallerAnswer, HttpListener, caller_text, listen};
use http::request::Parts;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::World;
use crate::relay;
use crate::sender::send;
use crate::site::{Calls, Class, Work};

/// Share of answers after which a server closes the connection.
const CLOSE_SHARE: f64 = 0.02;
/// Time that a request has if it names none.
const DEFAULT_WAIT_MS: f64 = 5000.0;

/// Starts the server of a VM.
pub(crate) async fn start(world: &Arc<World>, vm: usize) -> eyre::Result<HttpListener> {
    let server = &world.vms[vm];
    let mut address = server.backend;
    if world.extra > 0.0 && world.site.is_last(&server.place.service) {
        address = free_address_on(address.ip())?;
        relay::start(world, server.backend, address).await?;
    }
    let world = Arc::clone(world);
    let listener = listen(address, move |request, _| {
        let world = Arc::clone(&world);
        async move {
            let stays = world.random.lock().random_bool(world.stubborn);
            let serving = serve(world, vm, request);
            if !stays {
                return serving.await;
            }
            let run = tokio::spawn(serving).await;
            run.unwrap_or_else(|_| answer("", StatusCode::INTERNAL_SERVER_ERROR, 0))
        }
    })
    .await?;
    Ok(listener)
}

fn answer(id: &str, status: StatusCode, bytes: usize) -> CallerAnswer {
    let mut answer = caller_text(status, "text/plain", vec![b'y'; bytes]);
    let headers = answer.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    headers.insert("keep-alive", HeaderValue::from_static("timeout=10"));
    answer
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

async fn serve(world: Arc<World>, vm: usize, request: Request<Incoming>) -> CallerAnswer {
    let late_until = *world.late_until.lock();
    if let Some(moment) = late_until {
        sleep_until(moment).await;
    }
    let read = Instant::now();
    let server = &world.vms[vm];
    let (head, body) = request.into_parts();
    let id = header(&head, "x-request-id").unwrap_or_default();
    let expected = header(&head, "x-expect-instance");
    let name = head.uri.path().split('/').nth(1).unwrap_or_default();
    let is_other = expected.is_some_and(|expected| expected != server.id);
    let Some(class) = world.site.classes.get(name).filter(|_| !is_other) else {
        let status = if is_other {
            StatusCode::MISDIRECTED_REQUEST
        } else {
            StatusCode::OK
        };
        let mut answer = answer(id, status, 0);
        if let Ok(own) = HeaderValue::from_str(&server.id) {
            answer.headers_mut().insert("x-instance-id", own);
        }
        return answer;
    };
    let _ = body.collect().await;
    let wait = header(&head, "x-deadline-ms").and_then(|text| text.parse().ok());
    let wait = Duration::from_secs_f64(wait.unwrap_or(DEFAULT_WAIT_MS) / 1000.0);
    let running = world.record.read(id, vm);
    let begin = || running.update(|run| run.begin = Some(world.record.now()));
    let end = run(&world, (vm, class), id, read + wait, begin).await;
    let status = end.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    running.update(|run| {
        run.status = Some(status.as_u16());
        run.rejected = end.is_none();
    });
    drop(running);
    let bytes = end.map_or(0, |_| class.response_bytes);
    let mut answer = answer(id, status, bytes);
    let headers = answer.headers_mut();
    let name = end.map_or("x-not-executed", |_| "x-server-signature");
    headers.insert(name, HeaderValue::from_static("1"));
    if world.random.lock().random_bool(CLOSE_SHARE) {
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    answer
}

/// Waits for a slot and runs a request; returns `None` if the queue is full.
async fn run(
    world: &World,
    (vm, class): (usize, &Class),
    id: &str,
    deadline: Instant,
    begin: impl FnOnce(),
) -> Option<StatusCode> {
    let server = &world.vms[vm];
    let _slot = match server.slots.try_acquire() {
        Ok(slot) => slot,
        Err(_) => {
            let _place = server.queue.try_acquire().ok()?;
            match timeout_at(deadline, server.slots.acquire()).await {
                Ok(slot) => slot.ok()?,
                Err(_) => return Some(StatusCode::GATEWAY_TIMEOUT),
            }
        }
    };
    begin();
    let work = work(world, (vm, class), id, deadline);
    let status = timeout_at(deadline, work).await;
    Some(status.unwrap_or(StatusCode::GATEWAY_TIMEOUT))
}

async fn work(
    world: &World,
    (vm, class): (usize, &Class),
    id: &str,
    deadline: Instant,
) -> StatusCode {
    let working = sleep(draw_work(world, &class.work_ms).div_f64(world.vms[vm].speed));
    let succeeded = match &class.calls {
        Some(calls) if calls.together => {
            let calling = make_calls(world, vm, calls, id, deadline);
            tokio::join!(working, calling).1
        }
        Some(calls) => {
            working.await;
            make_calls(world, vm, calls, id, deadline).await
        }
        None => {
            working.await;
            true
        }
    };
    let fails = world.random.lock().random_bool(class.error_share);
    if !succeeded || fails {
        return StatusCode::INTERNAL_SERVER_ERROR;
    }
    StatusCode::OK
}

/// Draws the time of a run at speed 1, normally distributed by Box and Muller's method.
fn draw_work(world: &World, work: &Work) -> Duration {
    let (radius, angle) = (world.draw(1e-9..1.0), world.draw(0.0..1.0));
    let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
    let exponent = work.spread * normal - work.spread * work.spread / 2.0;
    Duration::from_secs_f64((work.mean * exponent.exp()).min(work.max) / 1000.0)
}

/// Makes the calls of a run until one fails; returns whether none did. Each may take
/// what is left of the run's time.
async fn make_calls(world: &World, vm: usize, calls: &Calls, id: &str, deadline: Instant) -> bool {
    let longest = world.site.classes[&calls.class].deadline();
    for _ in 0..calls.times {
        let left = deadline.saturating_duration_since(Instant::now());
        let call = format!("{id}.{}", world.new_id());
        let pool = &world.vms[vm].server_pool;
        let status = Box::pin(send(
            world,
            pool,
            (vm, &calls.class),
            &call,
            left.min(longest),
        ))
        .await;
        if status != Some(200) {
            return false;
        }
    }
    true
}
