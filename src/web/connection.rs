//! One connection of a caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinError;

use super::ahead::Ahead;
use super::begun::Begun;
use super::in_turn::InTurn;
use super::pipeline::Pipeline;
use super::{AnswerFuture, CallerAnswer, MAX_HEAD, MAX_HEADERS, RequestHandler, caller_text};

/// Bytes of a header's line besides name and value.
const LINE: usize = 4;
/// How long a connection may be idle or take for a head; longer than callers
/// keep idle connections, so that a request seldom meets the closing.
const IDLE: Duration = Duration::from_secs(60);
/// How long a caller may go on sending after its last answer.
const LINGER: Duration = Duration::from_millis(500);

/// What gives the answer to a request.
enum Answering {
    TooLarge,
    Begun(Begun),
    Served(AnswerFuture),
}

/// One connection of a caller.
#[derive(Clone)]
pub(super) struct Connection<S> {
    pub(super) from: SocketAddr,
    pub(super) handler: S,
    pub(super) pipeline: Arc<Mutex<Pipeline>>,
    /// Told when no connection is to be used again.
    pub(super) closing: watch::Receiver<bool>,
}

impl<S: RequestHandler> Connection<S> {
    /// Serves the caller until one of both ends the connection.
    pub(super) async fn run(self, stream: TcpStream) {
        if let Err(e) = stream.set_nodelay(true) {
            spdlog::debug!("cannot set nodelay", kv: { cause = e.to_string().as_str() });
        }
        let ahead = Ahead::new(stream, self.clone());
        let service = service_fn(|request| {
            let answering = self.answering(request);
            Box::pin(self.answer(answering))
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(ahead), service);
        let served = (&mut connection).await;
        if let Err(e) = served {
            spdlog::debug!("connection of a caller ended", kv: { cause = e.to_string().as_str() });
        }
        self.pipeline.lock().end_here();
        let stream = connection.into_parts().io.into_inner().into_inner();
        if tokio::time::timeout(LINGER, linger(stream)).await.is_err() {
            spdlog::debug!("a caller went on sending after its last answer");
        }
    }

    /// Takes a request in its turn.
    fn answering(&self, request: Request<Incoming>) -> Answering {
        let is_large = head_size(&request) > MAX_HEAD;
        let is_last = is_large || is_last(&request);
        let (came, begun) = self.pipeline.lock().read(&request, is_last);
        match begun {
            _ if is_large => Answering::TooLarge,
            Some(begun) => Answering::Begun(begun),
            None => Answering::Served(self.handler.serve(request, came, self.from)),
        }
    }

    async fn answer(&self, answering: Answering) -> Result<Response<InTurn>, JoinError> {
        let is_large = matches!(answering, Answering::TooLarge);
        let mut answer = match answering {
            Answering::TooLarge => too_large(),
            Answering::Begun(begun) => begun.await?,
            Answering::Served(work) => work.await,
        };
        let mut pipeline = self.pipeline.lock();
        // What was begun is answered, since it may have been passed on.
        if is_large || *self.closing.borrow() && !pipeline.has_begun() {
            pipeline.end_here();
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        drop(pipeline);
        Ok(answer.map(|body| InTurn::new(body, Arc::clone(&self.pipeline))))
    }
}

/// Tells whether the caller asks for nothing more on its connection.
fn is_last<B>(request: &Request<B>) -> bool {
    let words = request.headers().get_all(CONNECTION);
    let has_close = words.iter().any(|word| {
        let text = word.to_str().unwrap_or_default();
        text.split(',')
            .any(|word| word.trim().eq_ignore_ascii_case("close"))
    });
    has_close || request.version() != Version::HTTP_11
}

/// Returns about how many bytes the head of a request has; the library's own
/// bound holds for what it reads at once, which may be more.
fn head_size<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query();
    let headers = request.headers().iter();
    let lines: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + LINE)
        .sum();
    target.map_or(0, |target| target.as_str().len()) + lines
}

fn too_large() -> CallerAnswer {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    caller_text(
        status,
        "text/plain; charset=utf-8",
        "the head is larger than 32 KiB\n",
    )
}

/// Reads what the caller still sends after nothing more is sent to it.
///
/// Closing while bytes are unread would reset the connection, and the caller
/// could lose the answer that was sent last.
async fn linger(mut stream: TcpStream) {
    let mut rest = [0; 4096];
    while matches!(stream.read(&mut rest).await, Ok(count) if count > 0) {}
}
