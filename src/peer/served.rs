//! Answers to plain requests of other daemons.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::StatusCode;
use tokio::net::TcpStream;

use super::ask::EXCHANGE_PATH;
use super::call::PATH;
use super::convert::{refusal_out, reply_out};
use super::credit::{self, CREDIT_PATH};
use super::end::End;
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::heads::{Length, answer_head};
use super::id::attempt_of;
use super::message::{join, join_answer, take};
use super::news;
use super::server::Peers;
use crate::call::{Attempt, Call, Refusal, Reply};
use crate::model::{AttemptId, Retries};
use crate::web::{Chunks, Cut, Payload};

/// The answer to a plain request.
#[derive(Debug)]
pub(super) enum PlainAnswer {
    /// A status alone.
    Status(StatusCode),
    /// A body whole.
    Whole(Bytes),
    /// The first part of a body, and the rest as it comes.
    Stream(Bytes, Chunks),
}

/// What a plain request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Call,
    Credit,
    Exchange,
}

impl Asked {
    fn of(path: &str) -> Option<Self> {
        match path {
            PATH => Some(Self::Call),
            CREDIT_PATH => Some(Self::Credit),
            EXCHANGE_PATH => Some(Self::Exchange),
            _ => None,
        }
    }
}

impl Peers {
    /// Answers plain requests on one connection until it ends, or until the
    /// daemon stops; `busy` is set while one is under way.
    pub(super) async fn serve_plain(&self, stream: TcpStream, busy: &AtomicBool) {
        let mut end = End::new(stream);
        while end.readable().await.is_ok() {
            busy.store(true, Ordering::Relaxed);
            let more = self.serve_one(&mut end).await;
            busy.store(false, Ordering::Relaxed);
            match more {
                Ok(true) if !self.stopping.load(Ordering::Relaxed) => {}
                Ok(_) => return,
                Err(e) => {
                    spdlog::debug!("plain request", kv: { cause = e.to_string().as_str() });
                    return;
                }
            }
        }
    }

    /// Serves one request; returns whether another may follow. If the other
    /// daemon closes the connection, the request is given up.
    async fn serve_one(&self, end: &mut End) -> io::Result<bool> {
        let Some(request) = end.read_request().await? else {
            return Ok(false);
        };
        let body = end.read_body(request.length).await?;
        // On the heap, so that idle connections need no room for it.
        let answer = Box::pin(self.answer_plain(&request.path, body));
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            () = end.closed() => return Ok(false),
        };
        end.release();
        send(end, answer).await?;
        Ok(request.keep)
    }

    /// Answers a plain request.
    async fn answer_plain(&self, path: &str, body: Bytes) -> PlainAnswer {
        let answer = match Asked::of(path) {
            None => return PlainAnswer::Status(StatusCode::NOT_FOUND),
            Some(Asked::Call) => self.answer_call(body).await,
            Some(Asked::Credit) => message(body, |asked| credit::answer(&self.shared, asked)),
            Some(Asked::Exchange) => message(body, |asked| news::answer(&self.shared, asked)),
        };
        answer.unwrap_or(PlainAnswer::Status(StatusCode::BAD_REQUEST))
    }

    /// Answers a call; `None` if the body is none.
    async fn answer_call(&self, mut body: Bytes) -> Option<PlainAnswer> {
        let message: wire::CallHead = take(&mut body).ok()?;
        let attempt = attempt_of(&message.attempt).ok()?;
        let account = Retries::new(message.account);
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
                refusal.returned_retries = account;
                Err(refusal)
            }
        };
        Some(call_answer(attempt, result))
    }
}

async fn send(end: &mut End, answer: PlainAnswer) -> io::Result<()> {
    let (status, body) = match answer {
        PlainAnswer::Status(status) => (status, Bytes::new()),
        PlainAnswer::Whole(body) => (StatusCode::OK, body),
        PlainAnswer::Stream(first, rest) => return send_stream(end, first, rest).await,
    };
    let head = answer_head(status, Length::Known(body.len()));
    end.send(&head, &body).await.map_err(|e| e.cause)
}

/// Sends an answer as it comes; its end is not sent if it is cut.
async fn send_stream(end: &mut End, first: Bytes, mut rest: Chunks) -> io::Result<()> {
    let head = answer_head(StatusCode::OK, Length::Chunked);
    end.send(&head, &[]).await.map_err(|e| e.cause)?;
    end.send_chunk(&first).await?;
    loop {
        let next = tokio::select! {
            biased;
            next = rest.next() => next,
            () = end.closed() => return Err(io::ErrorKind::BrokenPipe.into()),
        };
        match next {
            Some(Ok(chunk)) if chunk.is_empty() => {}
            Some(Ok(chunk)) => end.send_chunk(&chunk).await?,
            Some(Err(Cut)) => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => return end.send_chunk(&[]).await,
        }
    }
}

/// Answers a message by another; `None` if the body is none.
fn message<A, B>(mut body: Bytes, answer: impl FnOnce(&A) -> B) -> Option<PlainAnswer>
where
    A: prost::Message + Default,
    B: prost::Message,
{
    let asked = take(&mut body).ok()?;
    Some(PlainAnswer::Whole(join(&answer(&asked), &[])))
}

fn call_answer(attempt: AttemptId, result: Result<Reply, Refusal>) -> PlainAnswer {
    let Reply { head, body } = match result {
        Ok(reply) => reply,
        Err(refusal) => {
            let part = AnswerPart::Refusal(refusal_out(attempt, &refusal));
            let frame = wire::AnswerFrame { frame: Some(part) };
            return PlainAnswer::Whole(join(&frame, &[]));
        }
    };
    match body {
        Payload::Whole(bytes) => {
            let mut message = reply_out(attempt, &head, Some(bytes));
            let bytes = std::mem::take(&mut message.body);
            PlainAnswer::Whole(join_answer(&message, &head.headers, &bytes))
        }
        Payload::Stream { chunks, .. } => {
            let message = reply_out(attempt, &head, None);
            PlainAnswer::Stream(join_answer(&message, &head.headers, &[]), chunks)
        }
    }
}
