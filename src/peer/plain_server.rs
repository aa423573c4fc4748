//! Serves plain requests of other daemons.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::StatusCode;
use tokio::net::TcpStream;

use super::call::CALL_PATH;
use super::convert::{encode_refusal, encode_reply};
use super::credit::{self, CREDIT_PATH};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::gossip;
use super::http_head::{BodyLength, response_head};
use super::http_stream::HttpStream;
use super::id::decode_attempt_id;
use super::message::{PlainBody, encode_answer_body, encode_body, take_message};
use super::query::EXCHANGE_PATH;
use super::server::PeerService;
use crate::call::{Attempt, Call, Refusal, Reply};
use crate::model::{AttemptId, Retries};
use crate::policy::resource::{Purpose, Side};
use crate::web::{Chunks, Holder, IncompleteBody, MAX_QUEUED_BYTES, Payload};

/// The answer to a plain request.
#[derive(Debug)]
pub(super) enum PlainAnswer {
    /// A status without a body.
    Status(StatusCode),
    /// A complete body.
    Whole(PlainBody),
    /// The first part of a body, and a stream of the rest.
    Stream(PlainBody, Chunks),
}

/// The kind of a plain request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Call,
    Credit,
    Exchange,
}

impl PlainAnswer {
    /// Returns the memory that is held until the answer is sent, in bytes.
    fn held_bytes(&self) -> usize {
        match self {
            Self::Status(_) => 0,
            Self::Whole(body) => body.len(),
            Self::Stream(first, _) => first.len() + MAX_QUEUED_BYTES,
        }
    }
}

impl RequestKind {
    fn from_path(path: &str) -> Option<Self> {
        match path {
            CALL_PATH => Some(Self::Call),
            CREDIT_PATH => Some(Self::Credit),
            EXCHANGE_PATH => Some(Self::Exchange),
            _ => None,
        }
    }
}

impl PeerService {
    /// Serves plain requests on one connection until it ends or the daemon stops.
    /// `busy` is set while a request is in progress.
    pub(super) async fn serve_plain(
        &self,
        stream: TcpStream,
        busy: &AtomicBool,
        holder: &Arc<Holder>,
    ) {
        let mut http = HttpStream::new(stream).with_holder(Arc::clone(holder));
        while http.wait_readable().await.is_ok() {
            busy.store(true, Ordering::Relaxed);
            let more = self.serve_request(&mut http, holder).await;
            busy.store(false, Ordering::Relaxed);
            match more {
                Ok(true) if !self.stopping.load(Ordering::Relaxed) => {}
                Ok(_) => return,
                Err(e) => {
                    spdlog::debug!("plain request failed", kv: { cause = e.to_string().as_str() });
                    return;
                }
            }
        }
    }

    /// Serves one request, and returns whether another may follow. If the other
    /// daemon closes the connection, the request is cancelled.
    async fn serve_request(&self, http: &mut HttpStream, holder: &Arc<Holder>) -> io::Result<bool> {
        let Some(request) = http.read_request().await? else {
            return Ok(false);
        };
        let _active = self.activity.begin();
        let mut charge = holder.charge(Purpose::Request);
        let Some(body) = http.read_body(request.length, &mut charge).await? else {
            send(http, PlainAnswer::Status(StatusCode::SERVICE_UNAVAILABLE)).await?;
            return Ok(request.keep_alive);
        };
        holder.wait_for(Side::Own);
        // Boxed, so that idle connections do not hold space for it.
        let answer = Box::pin(self.answer_plain(&request.path, body));
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = http.wait_closed() => return Ok(false),
        };
        http.release_buffer();
        drop(charge);
        let mut charge = holder.charge(Purpose::Answer);
        if charge.grow_to(answer.held_bytes()).is_err() {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        holder.wait_for(Side::Remote);
        send(http, answer).await?;
        Ok(request.keep_alive)
    }

    async fn answer_plain(&self, path: &str, body: Bytes) -> PlainAnswer {
        let answer = match RequestKind::from_path(path) {
            None => return PlainAnswer::Status(StatusCode::NOT_FOUND),
            Some(RequestKind::Call) => self.answer_call(body).await,
            Some(RequestKind::Credit) => {
                answer_message(body, |message| credit::answer(&self.shared, message))
            }
            Some(RequestKind::Exchange) => {
                answer_message(body, |message| gossip::answer(&self.shared, message))
            }
        };
        answer.unwrap_or(PlainAnswer::Status(StatusCode::BAD_REQUEST))
    }

    /// Answers a call. Returns `None` if the body is invalid.
    async fn answer_call(&self, mut body: Bytes) -> Option<PlainAnswer> {
        let message: wire::CallHead = take_message(&mut body).ok()?;
        let attempt = decode_attempt_id(&message.attempt).ok()?;
        let granted_retries = Retries::new(message.account);
        let result = match self.read_head(message) {
            Ok(head) => {
                let body = Payload::Whole(body);
                let confirm = None;
                let call = Call {
                    head,
                    body,
                    confirm,
                };
                self.guard.serve(call).await
            }
            Err(reason) => {
                let mut refusal = Attempt::with_id(attempt).refuse(reason, "");
                refusal.returned_retries = granted_retries;
                Err(refusal)
            }
        };
        Some(encode_answer(attempt, result))
    }
}

async fn send(http: &mut HttpStream, answer: PlainAnswer) -> io::Result<()> {
    let (status, body) = match answer {
        PlainAnswer::Status(status) => (status, PlainBody::default()),
        PlainAnswer::Whole(body) => (StatusCode::OK, body),
        PlainAnswer::Stream(first, rest) => return send_stream(http, first, rest).await,
    };
    let head = response_head(status, BodyLength::Known(body.len()));
    http.send(&head, &body).await.map_err(|e| e.cause)
}

/// Sends a streamed answer. If it is incomplete, the last chunk is not sent.
async fn send_stream(http: &mut HttpStream, first: PlainBody, mut rest: Chunks) -> io::Result<()> {
    let head = response_head(StatusCode::OK, BodyLength::Chunked);
    let sent = http.send(&head, &PlainBody::default()).await;
    sent.map_err(|e| e.cause)?;
    http.send_chunk(&first.message).await?;
    loop {
        let next = tokio::select! {
            biased;
            next = rest.next() => next,
            () = http.wait_closed() => return Err(io::ErrorKind::BrokenPipe.into()),
        };
        match next {
            Some(Ok(chunk)) if chunk.is_empty() => {}
            Some(Ok(chunk)) => http.send_chunk(&chunk).await?,
            Some(Err(IncompleteBody)) => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => return http.send_chunk(&[]).await,
        }
    }
}

/// Answers a message with another. Returns `None` if the body is invalid.
fn answer_message<A, B>(mut body: Bytes, answer: impl FnOnce(&A) -> B) -> Option<PlainAnswer>
where
    A: prost::Message + Default,
    B: prost::Message,
{
    let message = take_message(&mut body).ok()?;
    Some(PlainAnswer::Whole(encode_body(&answer(&message))))
}

fn encode_answer(attempt: AttemptId, result: Result<Reply, Refusal>) -> PlainAnswer {
    let Reply { head, body } = match result {
        Ok(reply) => reply,
        Err(refusal) => {
            let part = AnswerPart::Refusal(encode_refusal(attempt, &refusal));
            let frame = wire::AnswerFrame { frame: Some(part) };
            return PlainAnswer::Whole(encode_body(&frame));
        }
    };
    match body {
        Payload::Whole(bytes) => {
            let mut message = encode_reply(attempt, &head, Some(bytes));
            let bytes = std::mem::take(&mut message.body);
            PlainAnswer::Whole(encode_answer_body(&message, &head.headers, bytes))
        }
        Payload::Stream { chunks, .. } => {
            let message = encode_reply(attempt, &head, None);
            let first = encode_answer_body(&message, &head.headers, Bytes::new());
            PlainAnswer::Stream(first, chunks)
        }
    }
}
