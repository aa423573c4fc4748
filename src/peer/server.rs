//! Taking of calls and news from other daemons.

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

use super::convert::{call_in, headers_out, refusal_out, reply_out};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::generated::call_frame::Frame as CallPart;
use super::generated::peer_server::Peer;
use super::id::attempt_of;
use super::ledger;
use super::measure::Measure;
use super::news;
use super::suspect::suspects_in;
use crate::call::{Attempt, Call, Confirm, Reason, Refusal, Reply, ReplyHead};
use crate::error::Error;
use crate::guard::Guard;
use crate::model::{AttemptId, Instance, MintTime, OnceKey, Retries};
use crate::tables::{Shared, mint_now};
use crate::web::{Chunks, Cut, Payload};

/// Frames that wait to be sent.
const WINDOW: usize = 8;

/// Answers other daemons.
pub struct Peers {
    pub(super) shared: Arc<Shared>,
    pub(super) guard: Arc<Guard>,
    /// The own instance, as messages name it.
    own: Box<str>,
    /// Whether no more plain requests are taken on a connection.
    pub(super) stopping: AtomicBool,
}

type AnswerStream = Pin<Box<dyn Stream<Item = Result<wire::AnswerFrame, Status>> + Send>>;

impl Peers {
    /// Makes the service of a daemon.
    pub fn new(shared: Arc<Shared>, guard: Arc<Guard>) -> Self {
        let own = shared.instance.to_string().into();
        Self {
            shared,
            guard,
            own,
            stopping: AtomicBool::new(false),
        }
    }

    /// Checks that a message means this very instance.
    fn meant(&self, instance: &str) -> bool {
        let same = |meant: Instance| meant == self.shared.instance;
        *instance == *self.own || instance.parse().is_ok_and(same)
    }

    pub(super) fn read_head(&self, head: wire::CallHead) -> Result<crate::call::CallHead, Reason> {
        if !self.meant(&head.instance) {
            return Err(Reason::Replaced);
        }
        if let Some(suspect) = &head.suspect {
            let told = suspects_in(std::slice::from_ref(suspect));
            self.shared.merge_suspects(&told);
        }
        let in_force = self.shared.current.get();
        let estate = in_force.as_ref().map(|in_force| &in_force.estate);
        call_in(head, estate, Instant::now()).map_err(|_| Reason::BadRequest)
    }
}

fn one(frame: wire::AnswerFrame) -> Response<AnswerStream> {
    Response::new(Box::pin(tokio_stream::once(Ok(frame))))
}

fn part(part: AnswerPart) -> wire::AnswerFrame {
    wire::AnswerFrame { frame: Some(part) }
}

fn head_part(attempt: AttemptId, head: &ReplyHead, body: Option<Bytes>) -> wire::AnswerFrame {
    let mut message = reply_out(attempt, head, body);
    message.headers = headers_out(&head.headers);
    part(AnswerPart::Head(message))
}

fn answer(attempt: AttemptId, result: Result<Reply, Refusal>) -> Response<AnswerStream> {
    match result {
        Err(refusal) => one(part(AnswerPart::Refusal(refusal_out(attempt, &refusal)))),
        Ok(Reply { head, body }) => match body {
            Payload::Whole(bytes) => one(head_part(attempt, &head, Some(bytes))),
            Payload::Stream { chunks, .. } => {
                let (sender, receiver) = mpsc::channel(WINDOW);
                let _ = sender.try_send(Ok(head_part(attempt, &head, None)));
                tokio::spawn(pump_out(chunks, sender));
                Response::new(Box::pin(ReceiverStream::new(receiver)))
            }
        },
    }
}

/// Sends a streamed answer on; if it is cut, the stream ends in an error.
async fn pump_out(mut chunks: Chunks, to: mpsc::Sender<Result<wire::AnswerFrame, Status>>) {
    let mut measure = Measure::default();
    while let Some(chunk) = chunks.next().await {
        let item = match chunk {
            Ok(chunk) => {
                measure.add(&chunk);
                Ok(part(AnswerPart::Chunk(chunk)))
            }
            Err(cut) => Err(Status::aborted(cut.to_string())),
        };
        let failed = item.is_err();
        if to.send(item).await.is_err() || failed {
            return;
        }
    }
    let _ = to.send(Ok(part(AnswerPart::Tail(measure.tail())))).await;
}

/// Takes a streamed body in; it counts as whole only if its tail fits.
async fn pump_in(mut frames: Streaming<wire::CallFrame>, to: mpsc::Sender<Result<Bytes, Cut>>) {
    let mut measure = Measure::default();
    loop {
        let received = match frames.message().await {
            Ok(Some(frame)) => frame.frame,
            _ => None,
        };
        let item = match received {
            Some(CallPart::Chunk(chunk)) if !chunk.is_empty() => {
                measure.add(&chunk);
                Ok(chunk)
            }
            Some(CallPart::Tail(tail)) if measure.fits(&tail) => Ok(Bytes::new()),
            _ => Err(Cut),
        };
        let last = !matches!(&item, Ok(chunk) if !chunk.is_empty());
        if to.send(item).await.is_err() || last {
            return;
        }
    }
}

/// Takes the frames of a streamed body; gives back those of a call that came
/// whole, whose end is yet to arrive.
fn take_rest(
    frames: Streaming<wire::CallFrame>,
    body: Option<mpsc::Sender<Result<Bytes, Cut>>>,
) -> Option<Streaming<wire::CallFrame>> {
    let Some(sender) = body else {
        return Some(frames);
    };
    tokio::spawn(pump_in(frames, sender));
    None
}

/// Makes the question by which the entry is asked to let a held call start.
fn confirm(
    questions: mpsc::Sender<Result<wire::AnswerFrame, Status>>,
    mut frames: Streaming<wire::CallFrame>,
    body: Option<mpsc::Sender<Result<Bytes, Cut>>>,
) -> Confirm {
    Confirm::new(move || {
        Box::pin(async move {
            let question = part(AnswerPart::Start(wire::Start {}));
            if questions.send(Ok(question)).await.is_err() {
                return false;
            }
            let word = match frames.message().await {
                Ok(frame) => frame.and_then(|frame| frame.frame),
                Err(_) => None,
            };
            let start = matches!(word, Some(CallPart::Start(_)));
            if start {
                take_rest(frames, body);
            }
            start
        })
    })
}

#[tonic::async_trait]
impl Peer for Peers {
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
        let attempt =
            attempt_of(&message.attempt).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let streamed = message.streamed;
        let held = message.held;
        let account = message.account;
        let bytes = std::mem::take(&mut message.body);
        let head = match self.read_head(message) {
            Ok(head) => head,
            Err(reason) => {
                let mut refusal = Attempt::with_id(attempt).refuse(reason, "");
                refusal.account = Retries::new(account);
                return Ok(answer(attempt, Err(refusal)));
            }
        };
        let (body, sender) = if streamed {
            let (sender, chunks) = Chunks::channel();
            let length = None;
            (Payload::Stream { length, chunks }, Some(sender))
        } else {
            (Payload::Whole(bytes), None)
        };
        let (questions, asked) = mpsc::channel(1);
        let (confirm, frames) = if held {
            (Some(confirm(questions, frames, sender)), None)
        } else {
            drop(questions);
            (None, take_rest(frames, sender))
        };
        let guard = Arc::clone(&self.guard);
        let call = Call {
            head,
            body,
            confirm,
        };
        // The head of the answer leaves at once, which says that the call has
        // arrived. If the entry gives up, the stream and the call are dropped.
        let served = futures_util::stream::once(async move {
            let result = guard.serve(call).await;
            // Frames that were not read to the end count as reset.
            drop(frames);
            answer(attempt, result).into_inner()
        });
        let answered = futures_util::StreamExt::flatten(served);
        let both = futures_util::stream::select(ReceiverStream::new(asked), answered);
        Ok(Response::new(Box::pin(both)))
    }

    async fn inquire(
        &self,
        request: Request<wire::InquireRequest>,
    ) -> Result<Response<AnswerStream>, Status> {
        let message = request.into_inner();
        let wrong = |e: Error| Status::invalid_argument(e.to_string());
        let attempt = attempt_of(&message.attempt).map_err(wrong)?;
        let key: OnceKey = message.once_key.parse().map_err(wrong)?;
        let planned = Attempt::with_id(attempt);
        if !self.meant(&message.instance) {
            // The instance that was asked is gone; this one knows nothing.
            let refusal = planned.refuse_once(crate::policy::once::OnceRefusal::OwnerLost);
            return Ok(answer(attempt, Err(refusal)));
        }
        let wait = Duration::from_millis(u64::from(message.wait_ms));
        let result = self.guard.inquire(planned, &key, wait).await;
        Ok(answer(attempt, result))
    }

    async fn exchange(
        &self,
        request: Request<wire::ExchangeRequest>,
    ) -> Result<Response<wire::ExchangeReply>, Status> {
        Ok(Response::new(news::answer(
            &self.shared,
            &request.into_inner(),
        )))
    }

    async fn hand_over(
        &self,
        request: Request<wire::HandOverRequest>,
    ) -> Result<Response<wire::HandOverReply>, Status> {
        let message = request.into_inner();
        let fits = self.meant(&message.heir) && message.service == self.guard.service().as_str();
        let entries: Result<Vec<_>, Error> =
            message.entries.into_iter().map(ledger::entry_in).collect();
        let entries = entries.map_err(|e| Status::invalid_argument(e.to_string()))?;
        let forgotten = MintTime::from_millis(message.forgotten_ms);
        let taken = fits && self.guard.once().adopt(mint_now(), entries, forgotten);
        Ok(Response::new(wire::HandOverReply { taken }))
    }
}
