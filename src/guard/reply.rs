//! Replies and refusals to the entry for calls that were sent to the backend server.

use http::StatusCode;
use tokio::time::Instant;

use super::backend::{AnswerBody, BackendError, copy_body, stream};
use super::server_request::ServerAnswer;
use super::{Guard, SlotPermit};
use crate::call::{Attempt, CrashReport, Reason, Refusal, Reply, ReplyHead, Sent};
use crate::model::{Fingerprint, GuardStatus, Retries};
use crate::policy::admission::Outcome;
use crate::tables::{ParentCall, ParentCallGuard};
use crate::web::{Chunks, Payload};

impl Guard {
    pub(super) fn close_call(&self, mut refusal: Refusal, held: &ParentCallGuard) -> Refusal {
        refusal.returned_retries = held.close();
        refusal
    }

    pub(super) fn refuse_failed(
        &self,
        attempt: Attempt<Sent>,
        error: &BackendError,
        fingerprint: Option<Fingerprint>,
        held: &ParentCallGuard,
    ) -> Refusal {
        let refusal = match error {
            BackendError::Connect(cause) | BackendError::NoListener(cause) => attempt
                .revert_sent()
                .refuse(Reason::Unreachable, cause.clone())
                .with_key_scope(),
            BackendError::NotRun(retry_after) => {
                let mut refusal = attempt.revert_sent().refuse(Reason::Rejected, "");
                refusal.retry_after = *retry_after;
                refusal
            }
            BackendError::OtherServer(found) => {
                let found = found.as_ref().map_or("", |server| server.as_str());
                attempt.revert_sent().refuse(Reason::Replaced, found)
            }
            BackendError::ConnectionLost(cause) => {
                attempt.abandon(Reason::IncompleteAnswer, cause.clone())
            }
            BackendError::Crashed(crash) => {
                let mut refusal = attempt.abandon(Reason::Crashed, crash.to_string());
                let evidence = |request| self.shared.suspects.evidence(request);
                refusal.crash = Some(Box::new(CrashReport {
                    crash: *crash,
                    suspects: fingerprint.map(evidence).unwrap_or_default().into(),
                }));
                refusal
            }
            BackendError::InvalidAnswer(cause) => {
                attempt.abandon(Reason::InvalidAnswer, cause.clone())
            }
        };
        self.shared
            .metrics
            .count_reason("backend_failed", refusal.reason().as_str());
        self.close_call(refusal, held)
    }

    /// Records how a call ended; returns whether it made onward calls.
    pub(super) fn record_end(
        &self,
        slot: &mut SlotPermit,
        held: &ParentCall,
        status: StatusCode,
    ) -> bool {
        let refused_here =
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS;
        let outcomes = held.take_onward_outcomes();
        let answered = !status.is_server_error();
        let refused = outcomes.iter().any(|outcome| outcome.refused);
        if status != StatusCode::GATEWAY_TIMEOUT {
            let excused = outcomes.iter().any(|outcome| outcome.failed);
            slot.record_fault(!answered && !excused);
        }
        slot.record_onward(&outcomes, answered);
        let outcome = match (refused, answered) {
            (true, false) => Outcome::Failed,
            _ if refused_here => Outcome::Refused,
            _ => Outcome::Answered,
        };
        slot.set_outcome(outcome);
        !outcomes.is_empty()
    }

    /// Creates the reply; a task forwards a large body until `latest` and holds the slot
    /// until the body ends.
    pub(super) fn reply(
        &self,
        answer: ServerAnswer,
        onward: bool,
        latest: Instant,
        (slot, held): (SlotPermit, ParentCallGuard),
    ) -> Reply {
        let mut head = ReplyHead {
            status: answer.status,
            headers: answer.headers,
            returned_retries: Retries::new(0),
            guard_status: GuardStatus::default(),
            made_calls: onward,
            from_store: false,
        };
        let body = match answer.body {
            AnswerBody::Whole(bytes) => {
                head.returned_retries = held.close();
                drop(slot);
                Payload::Whole(bytes)
            }
            AnswerBody::Large(first, rest) => {
                head.returned_retries = held.close();
                let (sender, chunks) = Chunks::channel();
                self.handle.spawn(async move {
                    let _guards = (slot, held);
                    copy_body(first, rest, latest, &sender).await;
                });
                stream(answer.length, chunks)
            }
        };
        head.guard_status = self.status();
        Reply { head, body }
    }
}
