//! Sends calls to the guards of other daemons.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::call::{ANSWER_SLACK, OutgoingCall};
use super::checksum::BodyChecksum;
use super::convert::{decode_refusal, decode_reply, encode_call, encode_headers};
use super::generated::answer_frame::Frame as AnswerPart;
use super::generated::call_frame::Frame as CallPart;
use super::generated::{AnswerFrame, CallFrame, InquireRequest, Start};
use super::id::encode_id;
use super::plain_call;
use super::pool::Pool;
use crate::call::{Attempt, Planned, Reason, Refusal, Reply, Sent};
use crate::model::{AttemptId, Instance, OnceKey, ServiceName};
use crate::policy::admission::Shed;
use crate::policy::resource::Purpose;
use crate::web::{ChunkSender, Chunks, IncompleteBody, Payload};

/// Timeout for the acknowledgement that a call has arrived. The other daemon
/// sends it at once, but is paused for 0.1 s when its CPU quota is used up.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of frames queued for sending.
const MAX_QUEUED_FRAMES: usize = 2;

/// Sends a call to the guard of `instance` and waits for the answer.
///
/// A call that needs confirmation starts only after the guard has requested it
/// and this side has confirmed; until then it counts as not sent.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn send(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    message: OutgoingCall<'_>,
) -> Result<Reply, Refusal> {
    match &message.body {
        Payload::Whole(body) if !message.needs_confirm => {
            let body = body.clone();
            let head = encode_call(instance, attempt.id(), &message, Instant::now());
            plain_call::send(pool, instance, attempt, message.head, head, body).await
        }
        // Boxed, since its future is larger than that of a plain call.
        _ => Box::pin(send_stream(pool, instance, attempt, message)).await,
    }
}

/// Sends a call as a stream, which can carry frames before the answer.
async fn send_stream(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    message: OutgoingCall<'_>,
) -> Result<Reply, Refusal> {
    let Some(mut client) = pool.client(instance.address) else {
        return Err(attempt.refuse(Reason::Unreachable, "the address is invalid"));
    };
    let mut charge = pool.resources.charge(Purpose::Request);
    let copied = match &message.body {
        Payload::Whole(body) => body.len(),
        Payload::Stream { .. } => 0,
    };
    if charge.grow_to(copied).is_err() {
        return Err(attempt.refuse(Reason::Shed(Shed::Memory), ""));
    }
    let deadline = message.head.deadline;
    let needs_confirm = message.needs_confirm;
    let (frames, rest) = call_frames(instance, attempt.id(), message);
    let latest = deadline + ANSWER_SLACK;
    // Without a request for confirmation, the call may run though nothing is heard.
    let arrival = if needs_confirm {
        latest.min(Instant::now() + ARRIVAL_TIMEOUT)
    } else {
        latest
    };
    let answer = tokio::time::timeout_at(arrival, client.call(frames)).await;
    let answer = match answer {
        Ok(Ok(answer)) => answer.into_inner(),
        Ok(Err(status)) if needs_confirm => {
            return Err(refuse_not_started(pool, instance, attempt, &status));
        }
        Ok(Err(status)) => return Err(stream_failed(pool, instance, attempt.mark_sent(), &status)),
        Err(_) => {
            pool.replace(instance.address);
            return Err(refuse_unacknowledged(attempt, needs_confirm));
        }
    };
    if needs_confirm {
        return start(pool, instance, attempt, answer, rest, deadline).await;
    }
    rest.send_body();
    receive_answer(pool, instance, attempt.mark_sent(), answer, deadline).await
}

/// Refuses a call whose arrival the guard has not acknowledged.
fn refuse_unacknowledged(attempt: Attempt<Planned>, needs_confirm: bool) -> Refusal {
    if needs_confirm {
        return attempt.refuse(Reason::Unreachable, "the guard did not answer in time");
    }
    attempt
        .mark_sent()
        .abandon(Reason::IncompleteAnswer, "the guard did not answer in time")
}

/// Waits until the guard requests confirmation, and confirms the start.
async fn start(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    mut answer: Streaming<AnswerFrame>,
    rest: RemainingFrames,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    let first = tokio::time::timeout_at(deadline + ANSWER_SLACK, answer.message()).await;
    let first = match first {
        Ok(Ok(frame)) => frame.and_then(|frame| frame.frame),
        Ok(Err(status)) => return Err(refuse_not_started(pool, instance, attempt, &status)),
        Err(_) => {
            return Err(attempt.refuse(
                Reason::Shed(Shed::Deadline),
                "no slot was free before the deadline",
            ));
        }
    };
    match first {
        Some(AnswerPart::Start(_)) => {}
        Some(AnswerPart::Refusal(refusal)) => {
            return Err(decode_refusal(attempt.mark_sent(), &refusal));
        }
        _ => {
            return Err(attempt.refuse(
                Reason::Unreachable,
                "the guard did not request confirmation",
            ));
        }
    }
    if Instant::now() >= deadline {
        return Err(attempt.refuse(
            Reason::Shed(Shed::Deadline),
            "no slot was free before the deadline",
        ));
    }
    let attempt = attempt.mark_sent();
    rest.start();
    receive_answer(pool, instance, attempt, answer, deadline).await
}

async fn receive_answer(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Sent>,
    answer: Streaming<AnswerFrame>,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    match tokio::time::timeout_at(deadline + ANSWER_SLACK, first_frame(answer)).await {
        Err(_) => Err(attempt.abandon(Reason::Timeout, "no answer before the deadline")),
        Ok(Err(status)) => Err(stream_failed(pool, instance, attempt, &status)),
        Ok(Ok((frame, rest))) => read_answer(attempt, frame, rest),
    }
}

/// Queries the outcome of a once call from `instance` over a new connection.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn inquire(
    pool: &Pool,
    instance: Instance,
    service: &ServiceName,
    key: &OnceKey,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    let attempt = Attempt::plan().mark_sent();
    let Some(mut client) = pool.new_client(instance.address) else {
        return Err(attempt.abandon(Reason::Unreachable, "the address is invalid"));
    };
    let left = deadline.saturating_duration_since(Instant::now());
    let request = InquireRequest {
        instance: instance.to_string(),
        service: service.to_string(),
        once_key: key.to_string(),
        attempt: encode_id(attempt.id().get()),
        wait_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
    };
    let inquiry = async {
        let answer = client.inquire(request).await?;
        first_frame(answer.into_inner()).await
    };
    match tokio::time::timeout_at(deadline + ANSWER_SLACK, inquiry).await {
        Err(_) => Err(attempt.abandon(Reason::Timeout, "no answer before the deadline")),
        Ok(Err(status)) => Err(attempt.abandon(Reason::IncompleteAnswer, status.message())),
        Ok(Ok((frame, rest))) => read_answer(attempt, frame, rest),
    }
}

type Frames = ReceiverStream<CallFrame>;

/// The frames after the first one of a call.
struct RemainingFrames {
    chunks: Option<Chunks>,
    sender: mpsc::Sender<CallFrame>,
}

impl RemainingFrames {
    /// Confirms the start of a call, and sends its body if it is streamed.
    fn start(self) {
        // Only the first frame is in the channel, so there is room.
        let _ = self.sender.try_send(frame(CallPart::Start(Start {})));
        self.send_body();
    }

    /// Sends the body if it is streamed.
    fn send_body(self) {
        if let Some(chunks) = self.chunks {
            tokio::spawn(send_chunks(chunks, self.sender));
        }
    }
}

fn call_frames(
    instance: Instance,
    attempt: AttemptId,
    message: OutgoingCall<'_>,
) -> (Frames, RemainingFrames) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let mut head = encode_call(instance, attempt, &message, Instant::now());
    head.headers = encode_headers(&message.head.headers);
    let chunks = match message.body {
        Payload::Whole(bytes) => {
            head.body = bytes;
            None
        }
        Payload::Stream { chunks, .. } => Some(chunks),
    };
    let _ = sender.try_send(frame(CallPart::Head(head)));
    let rest = RemainingFrames { chunks, sender };
    (ReceiverStream::new(receiver), rest)
}

fn frame(part: CallPart) -> CallFrame {
    CallFrame { frame: Some(part) }
}

/// Forwards a streamed body. If it is incomplete, no tail is sent, which the
/// guard detects.
async fn send_chunks(mut chunks: Chunks, to: mpsc::Sender<CallFrame>) {
    let mut checksum = BodyChecksum::default();
    while let Some(chunk) = chunks.next().await {
        let Ok(chunk) = chunk else {
            return;
        };
        checksum.update(&chunk);
        if to.send(frame(CallPart::Chunk(chunk))).await.is_err() {
            return;
        }
    }
    let _ = to.send(frame(CallPart::Tail(checksum.tail()))).await;
}

async fn first_frame(
    mut frames: Streaming<AnswerFrame>,
) -> Result<(Option<AnswerPart>, Streaming<AnswerFrame>), tonic::Status> {
    let first = frames.message().await?.and_then(|frame| frame.frame);
    let streamed = matches!(&first, Some(AnswerPart::Head(head)) if head.streamed);
    if !streamed {
        // Read to the end: dropping a stream before resets it, and the other
        // side closes a connection with many resets.
        let _ = frames.message().await;
    }
    Ok((first, frames))
}

/// Refuses a call whose start was not confirmed.
fn refuse_not_started(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    status: &tonic::Status,
) -> Refusal {
    pool.replace(instance.address);
    attempt.refuse(Reason::Unreachable, status.message())
}

fn stream_failed(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Sent>,
    status: &tonic::Status,
) -> Refusal {
    pool.replace(instance.address);
    if is_connect_error(status) {
        return attempt
            .revert_sent()
            .refuse(Reason::Unreachable, status.message());
    }
    attempt.abandon(Reason::IncompleteAnswer, status.message())
}

/// Returns whether connecting failed, so that nothing was sent.
fn is_connect_error(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(cause) = source {
        if cause.is::<tonic::ConnectError>() {
            return true;
        }
        source = cause.source();
    }
    false
}

fn read_answer(
    attempt: Attempt<Sent>,
    part: Option<AnswerPart>,
    rest: Streaming<AnswerFrame>,
) -> Result<Reply, Refusal> {
    let head = match part {
        Some(AnswerPart::Head(head)) => head,
        Some(AnswerPart::Refusal(refusal)) => return Err(decode_refusal(attempt, &refusal)),
        _ => return Err(attempt.abandon(Reason::InvalidAnswer, "the answer has no head")),
    };
    if head.attempt != encode_id(attempt.id().get()) {
        return Err(attempt.abandon(Reason::InvalidAnswer, "the answer was to another attempt"));
    }
    let streamed = head.streamed;
    let (head, body) = match decode_reply(head) {
        Ok(parts) => parts,
        Err(e) => return Err(attempt.abandon(Reason::InvalidAnswer, e.to_string())),
    };
    let body = if streamed {
        let (sender, chunks) = Chunks::channel();
        tokio::spawn(receive_chunks(rest, sender));
        let length = None;
        Payload::Stream { length, chunks }
    } else {
        Payload::Whole(body)
    };
    Ok(Reply { head, body })
}

/// Receives a streamed answer, which is complete only if its tail matches.
async fn receive_chunks(mut frames: Streaming<AnswerFrame>, to: ChunkSender) {
    let mut checksum = BodyChecksum::default();
    loop {
        let part = match frames.message().await {
            Ok(Some(frame)) => frame.frame,
            _ => None,
        };
        let item = match part {
            Some(AnswerPart::Chunk(chunk)) if !chunk.is_empty() => {
                checksum.update(&chunk);
                Ok(chunk)
            }
            Some(AnswerPart::Tail(tail)) if checksum.matches(&tail) => Ok(Bytes::new()),
            _ => Err(IncompleteBody),
        };
        let last = !matches!(&item, Ok(chunk) if !chunk.is_empty());
        if to.send(item).await.is_err() || last {
            return;
        }
    }
}
