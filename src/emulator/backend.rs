//! An emulated backend server with slots, a service time and onward calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody};

use crate::call::CALL_HEADER;
use crate::error::Error;
use crate::model::ServiceName;
use crate::web::{Client, HttpRequest, HttpResponse, ThreadedServer, answer_text, serve};

/// Request header that an emulated backend server copies into its answer.
pub const TAG_HEADER: HeaderName = HeaderName::from_static("x-tag");
/// Request header with the idempotency key.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Timeout of an onward call.
const ONWARD_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest accepted answer to an onward call.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// A call that a backend server makes for each call it receives.
#[derive(Clone, Debug)]
pub struct OnwardCall {
    /// The called service.
    pub service: ServiceName,
    /// The request's path.
    pub path: Box<str>,
}

/// Behaviour of a backend server, which can change while the server runs.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Duration of a call without its onward calls.
    pub service_time: Duration,
    /// Size of the answer body.
    pub answer_bytes: usize,
    /// Calls made one after another for each received call.
    pub onward_calls: Vec<OnwardCall>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time: Duration::ZERO,
            answer_bytes: 64,
            onward_calls: Vec::new(),
        }
    }
}

struct BackendState {
    slots: Semaphore,
    behaviour: Mutex<Behaviour>,
    runs_by_key: Mutex<HashMap<Box<str>, u32>>,
    received_bytes: Mutex<u64>,
    daemon: SocketAddr,
    client: Client,
}

/// A running backend server.
pub struct BackendServer {
    state: Arc<BackendState>,
    _running: ThreadedServer,
}

impl BackendServer {
    /// Starts a backend server on `address`, which sends onward calls to the
    /// daemon's callers' address `daemon`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        daemon: SocketAddr,
        slots: usize,
        behaviour: Behaviour,
    ) -> Result<Self, Error> {
        let state = Arc::new(BackendState {
            slots: Semaphore::new(slots),
            behaviour: Mutex::new(behaviour),
            runs_by_key: Mutex::default(),
            received_bytes: Mutex::default(),
            daemon,
            client: Client::new(ONWARD_CALL_TIMEOUT, MAX_ANSWER_BYTES),
        });
        let shared = Arc::clone(&state);
        let running = serve(address, 1, move |request| {
            let state = Arc::clone(&shared);
            async move { state.handle(request).await }
        })?;
        Ok(Self {
            state,
            _running: running,
        })
    }

    /// Changes the behaviour for calls whose body is received from now on.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state.behaviour.lock());
    }

    /// Returns the number of runs of each idempotency key.
    pub fn runs_by_key(&self) -> HashMap<Box<str>, u32> {
        self.state.runs_by_key.lock().clone()
    }

    /// Returns the total size of the request bodies received so far.
    pub fn received_bytes(&self) -> u64 {
        *self.state.received_bytes.lock()
    }
}

impl BackendState {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let (head, ext) = request.into_parts();
        let (_, body) = ext.replace_body(());
        let Ok(_slot) = self.slots.acquire().await else {
            return answer_text(StatusCode::SERVICE_UNAVAILABLE, "backend server is closed");
        };
        if let Some(key) = head
            .headers
            .get(KEY_HEADER)
            .and_then(|key| key.to_str().ok())
        {
            *self.runs_by_key.lock().entry(key.into()).or_default() += 1;
        }
        if !self.receive_body(body).await {
            return answer_text(StatusCode::BAD_REQUEST, "incomplete request body");
        }
        let behaviour = self.behaviour.lock().clone();
        if !behaviour.service_time.is_zero() {
            tokio::time::sleep(behaviour.service_time).await;
        }
        for onward in &behaviour.onward_calls {
            if let Err(status) = self
                .make_onward_call(onward, head.headers.get(CALL_HEADER))
                .await
            {
                return answer_text(status, "onward call failed");
            }
        }
        let mut answer = HttpResponse::new(ResponseBody::bytes(vec![b'x'; behaviour.answer_bytes]));
        if let Some(tag) = head.headers.get(TAG_HEADER) {
            answer.headers_mut().insert(TAG_HEADER, tag.clone());
        }
        answer
    }

    /// Reads a request body to its end and returns whether it is complete.
    async fn receive_body(&self, mut body: RequestBody) -> bool {
        while let Some(chunk) = body.data().await {
            match chunk {
                Ok(chunk) => *self.received_bytes.lock() += chunk.len() as u64,
                Err(_) => return false,
            }
        }
        true
    }

    async fn make_onward_call(
        &self,
        onward: &OnwardCall,
        call: Option<&HeaderValue>,
    ) -> Result<(), StatusCode> {
        let uri = format!("http://{}{}", self.daemon, onward.path);
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::GET;
        *request.uri_mut() = uri.parse().map_err(|_| StatusCode::BAD_GATEWAY)?;
        if let Ok(host) = HeaderValue::from_str(onward.service.as_str()) {
            request.headers_mut().insert(HOST, host);
        }
        if let Some(call) = call {
            request.headers_mut().insert(CALL_HEADER, call.clone());
        }
        match self.client.send(request).await {
            Ok(answer) if answer.status.is_success() => Ok(()),
            _ => Err(StatusCode::BAD_GATEWAY),
        }
    }
}
