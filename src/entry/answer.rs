//! Answers to callers.

use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response};

use super::header::{REASON_HEADER, TICKET_HEADER, VERDICT_HEADER};
use crate::call::{Protocol, Refusal, Reply, strip_hop_headers};
use crate::model::{CallId, OnceKey, Verdict};
use crate::web::{CallerAnswer, Payload, caller_body, caller_text};

/// Marks an answer that was stored by an earlier run of the same key.
const STORED_ANSWER_HEADER: HeaderName = HeaderName::from_static("bramleymount-kept");

/// Builds the answers to one request.
pub(super) struct AnswerBuilder<'r> {
    protocol: &'r dyn Protocol,
    request: &'r HeaderMap,
}

impl<'r> AnswerBuilder<'r> {
    /// Creates a builder for a request with the given headers.
    pub(super) fn new(protocol: &'r dyn Protocol, request: &'r HeaderMap) -> Self {
        Self { protocol, request }
    }

    /// Returns the caller's id of the request.
    pub(super) fn id(&self) -> &'r str {
        self.protocol.request_id(self.request)
    }

    /// Builds the answer of the backend server.
    pub(super) fn reply(&self, call: CallId, reply: Reply) -> CallerAnswer {
        let Reply { head, body } = reply;
        let streamed = matches!(body, Payload::Stream { .. });
        let mut answer = Response::new(caller_body(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = strip_hop_headers(head.headers);
        if !streamed {
            answer.headers_mut().remove(CONTENT_LENGTH);
        }
        if head.from_store {
            insert_header(&mut answer, STORED_ANSWER_HEADER, "true");
        }
        self.protocol
            .add_call_id(answer.headers_mut(), call, self.request);
        answer
    }

    /// Builds a refusal, with its reason and whether the call may have run.
    pub(super) fn refusal(
        &self,
        call: Option<CallId>,
        refusal: &Refusal,
        ticket: Option<&OnceKey>,
    ) -> CallerAnswer {
        let reason = refusal.reason();
        let verdict = refusal.verdict();
        let mut text = format!("{reason} ({verdict})");
        if !refusal.detail.is_empty() {
            text.push_str(": ");
            text.push_str(&refusal.detail);
        }
        text.push('\n');
        let status = self.protocol.refusal_status(refusal);
        let mut answer = caller_text(status, "text/plain; charset=utf-8", text);
        insert_header(&mut answer, VERDICT_HEADER, verdict.as_str());
        insert_header(&mut answer, REASON_HEADER, reason.as_str());
        if let Some(call) = call {
            self.protocol
                .add_call_id(answer.headers_mut(), call, self.request);
        }
        if let Some(after) = refusal.retry_after {
            insert_header(
                &mut answer,
                RETRY_AFTER,
                &self.protocol.format_retry_after(after),
            );
        }
        if let Some(ticket) = ticket
            && verdict == Verdict::NotRun
        {
            insert_header(&mut answer, TICKET_HEADER, &ticket.to_string());
        }
        answer
    }
}

fn insert_header(answer: &mut CallerAnswer, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
