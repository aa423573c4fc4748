//! An HTTP server of `xitca-web` that runs on threads of its own.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde::Serialize;
use xitca_web::HttpServer;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue};
use xitca_web::http::{Request, RequestExt, Response, StatusCode};
use xitca_web::service::fn_service;

use crate::error::Error;

/// A request received by a [`ThreadedServer`].
pub type HttpRequest = Request<RequestExt<RequestBody>>;
/// An answer sent by a [`ThreadedServer`].
pub type HttpResponse = Response<ResponseBody>;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Maximum size of the buffer of unsent answers, in bytes.
const MAX_WRITE_BUFFER: usize = 256 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP server that runs until it is stopped or dropped.
pub struct ThreadedServer {
    address: SocketAddr,
    handle: xitca_server::ServerHandle,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ThreadedServer {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server at once, without waiting for requests in flight.
    pub fn stop(&mut self) {
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ThreadedServer {
    fn drop(&mut self) {
        self.handle.stop(false);
    }
}

/// Binds `address` and serves requests with `handler` on `workers` threads.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve<H, F>(address: SocketAddr, workers: usize, handler: H) -> Result<ThreadedServer, Error>
where
    H: Fn(HttpRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let listen_error = |e| Error::io(format!("listen on {address}"), e);
    let listener = TcpListener::bind(address).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let service = fn_service(move |request: HttpRequest| {
        let answer = handler(request);
        async move { Ok::<HttpResponse, Infallible>(answer.await) }
    });
    let mut future = HttpServer::serve(service)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<MAX_HEAD>()
        .max_write_buf_size::<MAX_WRITE_BUFFER>()
        .keep_alive_timeout(IDLE_TIMEOUT)
        .request_head_timeout(HEAD_TIMEOUT)
        .worker_threads(workers)
        .worker_max_blocking_threads(1)
        .disable_signal()
        .listen(listener)
        .map_err(listen_error)?
        .run();
    let handle = future.handle().map_err(listen_error)?;
    let thread = std::thread::Builder::new()
        .name("http".into())
        .spawn(move || {
            let _ = future.wait();
        })
        .map_err(listen_error)?;
    Ok(ThreadedServer {
        address,
        handle,
        thread: Some(thread),
    })
}

/// Builds an answer with a JSON body.
pub fn answer_json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(ResponseBody::bytes(body));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

/// Builds an answer with a plain text body.
pub fn answer_text(status: StatusCode, text: impl Into<String>) -> HttpResponse {
    let mut answer = Response::new(ResponseBody::bytes(text.into()));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
