//! What a caller receives.

use std::time::Duration;

use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderName, HeaderValue};
use xitca_web::body::ResponseBody;
use xitca_web::http::Response;

use super::body;
use super::header::{REASON, TICKET, VERDICT};
use crate::call::{Refusal, Reply};
use crate::guard::{CALL, forwarded};
use crate::model::{CallId, OnceKey, Verdict};
use crate::web::{HttpResponse, Payload};

/// Marks an answer that was kept from an earlier run of the same key.
const KEPT: HeaderName = HeaderName::from_static("bramleymount-kept");

/// Gives the backend server's own answer.
pub(super) fn of_reply(call: CallId, reply: Reply) -> HttpResponse {
    let Reply { head, body } = reply;
    let streamed = matches!(body, Payload::Stream { .. });
    let mut answer = Response::new(body::send(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwarded(&head.headers);
    if !streamed {
        answer.headers_mut().remove(CONTENT_LENGTH);
    }
    if head.kept {
        put(&mut answer, KEPT, "true");
    }
    put(&mut answer, CALL, &call.to_string());
    answer
}

/// Says why there is no answer, and what that means.
pub(super) fn of_refusal(
    call: Option<CallId>,
    refusal: &Refusal,
    ticket: Option<&OnceKey>,
) -> HttpResponse {
    let reason = refusal.reason();
    let verdict = refusal.verdict();
    let mut text = format!("{reason} ({verdict})");
    if !refusal.detail.is_empty() {
        text.push_str(": ");
        text.push_str(&refusal.detail);
    }
    text.push('\n');
    let mut answer = Response::new(ResponseBody::bytes(text));
    *answer.status_mut() = reason.status();
    put(&mut answer, VERDICT, verdict.as_str());
    put(&mut answer, REASON, reason.as_str());
    if let Some(call) = call {
        put(&mut answer, CALL, &call.to_string());
    }
    if let Some(after) = refusal.retry_after {
        put(&mut answer, RETRY_AFTER, &whole_seconds(after).to_string());
    }
    if let Some(ticket) = ticket
        && verdict == Verdict::NotRun
    {
        put(&mut answer, TICKET, &ticket.to_string());
    }
    answer
}

fn whole_seconds(time: Duration) -> u64 {
    time.as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}

fn put(answer: &mut HttpResponse, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
