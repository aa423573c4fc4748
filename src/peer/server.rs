//! Serves calls and gossip of other daemons.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::checksum::BodyChecksum;
use super::convert::{decode_call, encode_headers, encode_refusal, encode_reply};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::generated::call_frame::Frame as CallPart;
use super::generated::peer_server::Peer;
use super::gossip;
use super::id::decode_attempt_id;
use super::ledger;
use super::suspect::decode_suspects;
use crate::call::{Attempt, Call, Reason, Refusal, Reply, ReplyHead, StartConfirmation};
use crate::error::Error;
use crate::guard::Guard;
use crate::model::{AttemptId, Instance, MintTime, OnceKey, Retries};
use crate::policy::admission::Shed;
use crate::policy::resource::Purpose;
use crate::tables::{Shared, mint_now};
use crate::web::{Activity, ChunkSender, Chunks, IncompleteBody, MAX_STREAMED_BYTES, Payload};

/// Maximum number of frames queued for sending.
const MAX_QUEUED_FRAMES: usize = 2;

/// The service that answers other daemons.
pub struct PeerService {
    pub(super) shared: Arc<Shared>,
    pub(super) guard: Arc<Guard>,
    /// The own instance, formatted as in messages.
    own_name: Box<str>,
    /// Whether connections accept no further plain requests.
    pub(super) stopping: AtomicBool,
    /// The requests whose answers have not been sent completely.
    pub(super) activity: Activity,
}

type AnswerStream = Pin<Box<dyn Stream<Item = Result<wire::AnswerFrame, Status>> + Send>>;

impl PeerService {
    /// Creates the service of a daemon.
    pub fn new(shared: Arc<Shared>, guard: Arc<Guard>) -> Self {
        let own_name = shared.instance.to_string().into();
        Self {
            shared,
            guard,
            own_name,
            stopping: AtomicBool::new(false),
            activity: Activity::default(),
        }
    }

    /// Returns the count of requests whose answers have not been sent completely.
    pub fn activity(&self) -> &Activity {
        &self.activity
    }

    /// Returns whether a message is addressed to this instance.
    fn is_addressed(&self, instance: &str) -> bool {
        let same = |named: Instance| named == self.shared.instance;
        *instance == *self.own_name || instance.parse().is_ok_and(same)
    }

    pub(super) fn read_head(&self, head: wire::CallHead) -> Result<crate::call::CallHead, Reason> {
        if !self.is_addressed(&head.instance) {
            return Err(Reason::Replaced);
        }
        if let Some(suspect) = &head.suspect {
            let suspects = decode_suspects(std::slice::from_ref(suspect));
            self.shared.merge_suspects(&suspects);
        }
        let in_force = self.shared.current.get();
        let estate = in_force.as_ref().map(|in_force| &in_force.estate);
        decode_call(head, estate, Instant::now()).map_err(|_| Reason::BadRequest)
    }
}

fn single_frame(frame: wire::AnswerFrame) -> Response<AnswerStream> {
    Response::new(Box::pin(tokio_stream::once(Ok(frame))))
}

fn answer_frame(part: AnswerPart) -> wire::AnswerFrame {
    wire::AnswerFrame { frame: Some(part) }
}

fn head_frame(attempt: AttemptId, head: &ReplyHead, body: Option<Bytes>) -> wire::AnswerFrame {
    let mut message = encode_reply(attempt, head, body);
    message.headers = encode_headers(&head.headers);
    answer_frame(AnswerPart::Head(message))
}

fn respond(attempt: AttemptId, result: Result<Reply, Refusal>) -> Response<AnswerStream> {
    match result {
        Err(refusal) => single_frame(answer_frame(AnswerPart::Refusal(encode_refusal(
            attempt, &refusal,
        )))),
        Ok(Reply { head, body }) => match body {
            Payload::Whole(bytes) => single_frame(head_frame(attempt, &head, Some(bytes))),
            Payload::Stream { chunks, .. } => {
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
                let _ = sender.try_send(Ok(head_frame(attempt, &head, None)));
                tokio::spawn(send_chunks(chunks, sender));
                Response::new(Box::pin(ReceiverStream::new(receiver)))
            }
        },
    }
}

/// Forwards a streamed answer. If it is incomplete, the stream ends with an
/// error.
async fn send_chunks(mut chunks: Chunks, to: mpsc::Sender<Result<wire::AnswerFrame, Status>>) {
    let mut checksum = BodyChecksum::default();
    while let Some(chunk) = chunks.next().await {
        let item = match chunk {
            Ok(chunk) => {
                checksum.update(&chunk);
                Ok(answer_frame(AnswerPart::Chunk(chunk)))
            }
            Err(cut) => Err(Status::aborted(cut.to_string())),
        };
        let failed = item.is_err();
        if to.send(item).await.is_err() || failed {
            return;
        }
    }
    let _ = to
        .send(Ok(answer_frame(AnswerPart::Tail(checksum.tail()))))
        .await;
}

/// Receives a streamed body, which is complete only if its tail matches.
async fn receive_chunks(mut frames: Streaming<wire::CallFrame>, to: ChunkSender) {
    let mut checksum = BodyChecksum::default();
    loop {
        let received = match frames.message().await {
            Ok(Some(frame)) => frame.frame,
            _ => None,
        };
        let item = match received {
            Some(CallPart::Chunk(chunk)) if !chunk.is_empty() => {
                checksum.update(&chunk);
                Ok(chunk)
            }
            Some(CallPart::Tail(tail)) if checksum.matches(&tail) => Ok(Bytes::new()),
            _ => Err(IncompleteBody),
        };
        let last = !matches!(&item, Ok(chunk) if !chunk.is_empty());
        if to.send(item).await.is_err() || last {
            return;
        }
    }
}

/// Starts to receive a streamed body. For a call with a complete body, returns
/// the frames, whose end has not arrived yet.
fn receive_body(
    frames: Streaming<wire::CallFrame>,
    body: Option<ChunkSender>,
) -> Option<Streaming<wire::CallFrame>> {
    let Some(sender) = body else {
        return Some(frames);
    };
    tokio::spawn(receive_chunks(frames, sender));
    None
}

/// Creates the confirmation by which the guard asks the entry whether to start a
/// call.
fn confirm(
    start_requests: mpsc::Sender<Result<wire::AnswerFrame, Status>>,
    mut frames: Streaming<wire::CallFrame>,
    body: Option<ChunkSender>,
) -> StartConfirmation {
    StartConfirmation::new(move || {
        Box::pin(async move {
            let start_request = answer_frame(AnswerPart::Start(wire::Start {}));
            if start_requests.send(Ok(start_request)).await.is_err() {
                return false;
            }
            let reply = match frames.message().await {
                Ok(frame) => frame.and_then(|frame| frame.frame),
                Err(_) => None,
            };
            let start = matches!(reply, Some(CallPart::Start(_)));
            if start {
                receive_body(frames, body);
            }
            start
        })
    })
}

#[tonic::async_trait]
impl Peer for PeerService {
    type CallStream = AnswerStream;
    type InquireStream = AnswerStream;

    async fn call(
        &self,
        request: Request<Streaming<wire::CallFrame>>,
    ) -> Result<Response<AnswerStream>, Status> {
        let mut frames = request.into_inner();
        let first = frames.message().await?.and_then(|frame| frame.frame);
        let Some(CallPart::Head(mut message)) = first else {
            return Err(Status::invalid_argument("the first frame must be a head"));
        };
        let attempt = decode_attempt_id(&message.attempt)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let streamed = message.streamed;
        let needs_confirm = message.held;
        let granted_retries = message.account;
        let bytes = std::mem::take(&mut message.body);
        let head = match self.read_head(message) {
            Ok(head) => head,
            Err(reason) => {
                let mut refusal = Attempt::with_id(attempt).refuse(reason, "");
                refusal.returned_retries = Retries::new(granted_retries);
                return Ok(respond(attempt, Err(refusal)));
            }
        };
        let held = if streamed {
            MAX_STREAMED_BYTES
        } else {
            bytes.len()
        };
        let mut charge = self.shared.resources.charge(Purpose::Request);
        if charge.grow_to(held).is_err() {
            let mut refusal = Attempt::with_id(attempt).refuse(Reason::Shed(Shed::Memory), "");
            refusal.returned_retries = Retries::new(granted_retries);
            return Ok(respond(attempt, Err(refusal)));
        }
        let (body, sender) = if streamed {
            let (sender, chunks) = Chunks::channel();
            let length = None;
            (Payload::Stream { length, chunks }, Some(sender))
        } else {
            (Payload::Whole(bytes), None)
        };
        let (start_requests, request_frames) = mpsc::channel(1);
        let (confirm, frames) = if needs_confirm {
            (Some(confirm(start_requests, frames, sender)), None)
        } else {
            drop(start_requests);
            (None, receive_body(frames, sender))
        };
        let guard = Arc::clone(&self.guard);
        let call = Call {
            head,
            body,
            confirm,
        };
        // The response head is sent at once, which acknowledges the arrival of
        // the call. If the entry cancels, the stream and the call are dropped.
        let active = self.activity.begin();
        let served = futures_util::stream::once(async move {
            let result = guard.serve(call).await;
            drop(charge);
            // Dropped only after the call, since unread frames count as a reset.
            drop(frames);
            respond(attempt, result).into_inner()
        });
        let answered = futures_util::StreamExt::flatten(served);
        let messages = futures_util::stream::select(ReceiverStream::new(request_frames), answered);
        let messages = futures_util::StreamExt::map(messages, move |message| {
            // Dropped with the stream, once its last message is taken.
            let _ = &active;
            message
        });
        Ok(Response::new(Box::pin(messages)))
    }

    async fn inquire(
        &self,
        request: Request<wire::InquireRequest>,
    ) -> Result<Response<AnswerStream>, Status> {
        let message = request.into_inner();
        let invalid = |e: Error| Status::invalid_argument(e.to_string());
        let attempt = decode_attempt_id(&message.attempt).map_err(invalid)?;
        let key: OnceKey = message.once_key.parse().map_err(invalid)?;
        let planned = Attempt::with_id(attempt);
        if !self.is_addressed(&message.instance) {
            // The addressed instance is gone, and this one has no record of the call.
            let refusal = planned.refuse_once(crate::policy::once::OnceRefusal::OwnerLost);
            return Ok(respond(attempt, Err(refusal)));
        }
        let wait = Duration::from_millis(u64::from(message.wait_ms));
        let result = self.guard.inquire(planned, &key, wait).await;
        Ok(respond(attempt, result))
    }

    async fn exchange(
        &self,
        request: Request<wire::ExchangeRequest>,
    ) -> Result<Response<wire::ExchangeReply>, Status> {
        Ok(Response::new(gossip::answer(
            &self.shared,
            &request.into_inner(),
        )))
    }

    async fn hand_over(
        &self,
        request: Request<wire::HandOverRequest>,
    ) -> Result<Response<wire::HandOverReply>, Status> {
        let message = request.into_inner();
        let matches =
            self.is_addressed(&message.heir) && message.service == self.guard.service().as_str();
        let entries: Result<Vec<_>, Error> = message
            .entries
            .into_iter()
            .map(ledger::decode_entry)
            .collect();
        let entries = entries.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let forgotten = MintTime::from_millis(message.forgotten_ms);
        let taken = matches && self.guard.once().adopt(mint_now(), entries, forgotten);
        Ok(Response::new(wire::HandOverReply { taken }))
    }
}
