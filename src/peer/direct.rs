//! Calls to other daemons that are one request and one answer.
//!
//! A plain call on a connection of its own costs both daemons about half of the
//! processor time that a stream among others does: no frames, windows and
//! trailers, no task that owns the connection for all callers, and no early
//! word that the call arrived, since the daemon was heard from just before.

use bytes::Bytes;
use tokio::time::timeout_at;

use super::call::SLACK;
use super::convert::{refusal_in, reply_in};
use super::generated as wire;
use super::generated::answer_frame::Frame as AnswerPart;
use super::id::id_bytes;
use super::lines::Failed;
use super::message::join_call;
use super::pool::Pool;
use crate::call::{Attempt, CallHead, Planned, Reason, Refusal, Reply, Sent};
use crate::model::Instance;
use crate::web::Payload;

/// Sends a call that came whole to the guard of `instance`, with what `head`
/// says of it and its headers, and waits for the answer.
///
/// # Errors
///
/// Returns what to tell the caller in place of an answer.
pub(super) async fn send(
    pool: &Pool,
    instance: Instance,
    attempt: Attempt<Planned>,
    call: &CallHead,
    head: wire::CallHead,
    body: Bytes,
) -> Result<Reply, Refusal> {
    let whole = join_call(&head, &call.headers, &body);
    drop((head, body));
    let client = pool.plain(instance.address);
    let attempt = attempt.mark_sent();
    match timeout_at(call.deadline + SLACK, client.exchange(whole)).await {
        Ok(Ok((part, payload))) => answered(attempt, part, payload),
        Ok(Err(failed)) => {
            pool.replace(instance.address);
            Err(lost(attempt, failed))
        }
        Err(_) => Err(attempt.abandon(Reason::Timeout, "no answer before the deadline")),
    }
}

fn lost(attempt: Attempt<Sent>, failed: Failed) -> Refusal {
    if failed.connected {
        attempt.abandon(Reason::IncompleteAnswer, failed.cause)
    } else {
        attempt
            .revert_sent()
            .refuse(Reason::Unreachable, failed.cause)
    }
}

fn answered(
    attempt: Attempt<Sent>,
    part: Option<AnswerPart>,
    payload: Payload,
) -> Result<Reply, Refusal> {
    let mut head = match part {
        Some(AnswerPart::Head(head)) => head,
        Some(AnswerPart::Refusal(refusal)) => return Err(refusal_in(attempt, &refusal)),
        _ => return Err(attempt.abandon(Reason::InvalidAnswer, "the answer has no head")),
    };
    if head.attempt != id_bytes(attempt.id().get()) {
        return Err(attempt.abandon(Reason::InvalidAnswer, "the answer was to another attempt"));
    }
    if let Payload::Whole(body) = &payload {
        head.body = body.clone();
    }
    let head = match reply_in(head) {
        Ok((head, _)) => head,
        Err(e) => return Err(attempt.abandon(Reason::InvalidAnswer, e.to_string())),
    };
    Ok(Reply {
        head,
        body: payload,
    })
}
