//! Calls to other daemons as one plain HTTP request and response.
//!
//! A plain call uses a connection exclusively. It costs both daemons about half
//! the CPU time of a multiplexed stream: there are no frames, windows or
//! trailers, no task that owns the connection for all callers, and no early
//! acknowledgement, since the other daemon responded recently.

use bytes::Bytes;
use tokio::time::timeout_at;

use super::call::ANSWER_SLACK;
use super::convert::{decode_refusal, decode_reply};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::id::encode_id;
use super::message::encode_call_body;
use super::plain_pool::{RequestError, RequestProgress};
use super::pool::Pool;
use crate::call::{Attempt, CallHead, Planned, Reason, Refusal, Reply, Sent};
use crate::model::Instance;
use crate::policy::admission::Shed;
use crate::web::Payload;

/// Sends a call with a complete body to the guard of `instance`, and waits for
/// the answer. The headers come from `call`, all other fields from `head`.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub(super) async fn send(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    call: &CallHead,
    head: wire::CallHead,
    body: Bytes,
) -> Result<Reply, Refusal> {
    let request = encode_call_body(&head, &call.headers, body);
    drop(head);
    let client = pool.plain(instance.address);
    let attempt = attempt.mark_sent();
    match timeout_at(call.deadline + ANSWER_SLACK, client.call(request)).await {
        Ok(Ok((part, payload))) => read_answer(attempt, part, payload),
        Ok(Err(failed)) => {
            if failed.progress != RequestProgress::NotHeld {
                pool.replace(instance.address);
            }
            Err(refuse_failed(attempt, failed))
        }
        Err(_) => Err(attempt.abandon(Reason::Timeout, "no answer before the deadline")),
    }
}

fn refuse_failed(attempt: Attempt<Sent>, failed: RequestError) -> Refusal {
    match failed.progress {
        RequestProgress::Sent => attempt.abandon(Reason::IncompleteAnswer, failed.cause),
        RequestProgress::NotSent => attempt
            .revert_sent()
            .refuse(Reason::Unreachable, failed.cause),
        RequestProgress::NotHeld => attempt
            .revert_sent()
            .refuse(Reason::Shed(Shed::Memory), failed.cause),
    }
}

fn read_answer(
    attempt: Attempt<Sent>,
    part: Option<AnswerPart>,
    payload: Payload,
) -> Result<Reply, Refusal> {
    let mut head = match part {
        Some(AnswerPart::Head(head)) => head,
        Some(AnswerPart::Refusal(refusal)) => return Err(decode_refusal(attempt, &refusal)),
        _ => return Err(attempt.abandon(Reason::InvalidAnswer, "the answer has no head")),
    };
    if head.attempt != encode_id(attempt.id().get()) {
        return Err(attempt.abandon(Reason::InvalidAnswer, "the answer was to another attempt"));
    }
    if let Payload::Whole(body) = &payload {
        head.body = body.clone();
    }
    let head = match decode_reply(head) {
        Ok((head, _)) => head,
        Err(e) => return Err(attempt.abandon(Reason::InvalidAnswer, e.to_string())),
    };
    Ok(Reply {
        head,
        body: payload,
    })
}
