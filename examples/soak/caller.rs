//! Callers: each sends one request after the other over a connection that it
//! keeps as long as that lives.

use std::sync::Arc;
use std::time::Duration;

use bramleymount::web::{Connections, Dial, Keep, RequestError};
use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use crate::estate::{Addresses, MOVED, READ, WRITE};
use crate::record::{End, Record};

/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);
/// Requests of a hundred that their callers leave, and after which time.
const LEFT: u32 = 4;
const LEFT_AFTER: Duration = Duration::from_millis(150);

/// Returns the body of a request.
pub(crate) fn body(id: &str) -> String {
    format!("body of {id}")
}

/// One caller beside a VM.
pub(crate) struct Caller {
    vm: usize,
    name: String,
    rng: StdRng,
    connections: Connections<Full<Bytes>>,
    record: Arc<Record>,
}

impl Caller {
    pub(crate) fn new(
        vm: usize,
        place: usize,
        seed: u64,
        at: &Addresses,
        record: Arc<Record>,
    ) -> Self {
        let dial = Dial {
            address: at.callers,
            own: None,
            timeout: Duration::from_secs(1),
            unacknowledged: None,
        };
        let keep = Keep {
            most: 1,
            idle: Duration::from_secs(60),
        };
        Self {
            vm,
            name: format!("c{vm}x{place}"),
            rng: StdRng::seed_from_u64(seed ^ (vm * 1000 + place) as u64),
            connections: Connections::new(dial, keep),
            record,
        }
    }

    /// Sends requests until `stop` is told.
    pub(crate) async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let id = format!("{}n{count}", self.name);
            let path = match self.rng.random_range(0..10) {
                0..5 => READ,
                5..8 => WRITE,
                _ => MOVED,
            };
            let leaves = path == READ && self.rng.random_ratio(LEFT, 100);
            let wait = if leaves { LEFT_AFTER } else { DEADLINE };
            self.record.sent(&id, self.vm, path);
            let end = match tokio::time::timeout(wait, self.ask(&id, path)).await {
                Ok(end) => end,
                Err(_) if leaves => End::Left,
                Err(_) => End::Cut,
            };
            self.record.ended(&id, end);
            tokio::time::sleep(PAUSE.mul_f64(self.rng.random_range(0.5..1.5))).await;
        }
    }

    async fn ask(&self, id: &str, path: &str) -> End {
        let mut request = Request::new(Full::new(Bytes::from(body(id))));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = format!("{path}{id}").parse().expect("a path");
        let headers = request.headers_mut();
        headers.insert("host", HeaderValue::from_static("a.example"));
        headers.insert("x-caller-service", HeaderValue::from_static("forged"));
        headers.insert("x-request-id", HeaderValue::from_str(id).expect("an id"));
        headers.insert(
            "x-deadline-ms",
            HeaderValue::from(DEADLINE.as_millis() as u64),
        );
        let answer = match self.connections.request(request).await {
            Ok(answer) => answer,
            Err(RequestError::Connect(_)) => return End::Unreached,
            Err(RequestError::Lost(_)) => return End::Cut,
        };
        let (head, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return End::Cut;
        };
        let of = head
            .headers
            .get("x-request-id")
            .and_then(|of| of.to_str().ok());
        let signed = head.headers.contains_key("x-server-signature");
        let whole = *body.to_bytes() == *format!("answer to {id}").as_bytes();
        // A refusal of the daemon itself may leave the id out.
        let own = of.is_none_or(|of| of == id);
        End::Answered {
            status: head.status.as_u16(),
            signed,
            fits: if head.status.is_success() {
                of == Some(id) && whole
            } else {
                own
            },
        }
    }
}
