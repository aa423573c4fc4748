//! One request to the backend server, and what its result says about the server.

use http::{HeaderMap, StatusCode};
use hyper::body::Body;
use tokio::time::Instant;

use super::Guard;
use super::backend::{AnswerBody, BackendError, read_small};
use crate::call::{AnswerMeaning, CallHead, strip_hop_headers};
use crate::model::ServerId;
use crate::policy::resource::Purpose;
use crate::web::Payload;

/// Highest status code (RFC 9110, section 15); the library accepts three digits.
const MAX_STATUS: u16 = 599;

/// Answer of the backend server; a small body has been read completely.
pub(super) struct ServerAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) length: Option<u64>,
    pub(super) body: AnswerBody,
}

impl ServerAnswer {
    /// Returns whether the backend server completed the call: it reported no error,
    /// and the answer was read completely.
    fn is_final(&self) -> bool {
        !self.status.is_server_error() && matches!(self.body, AnswerBody::Whole(_))
    }
}

impl Guard {
    /// Sends a call; distinguishes a crash from a lost connection.
    ///
    /// What is learned about the request outlives the call, since a query of death
    /// returns under other ids. Without quarantine after three crashes such a request
    /// ended 25 servers in eight seconds (`tests/query_of_death.rs`).
    pub(super) async fn request(
        &self,
        head: &CallHead,
        body: Payload,
    ) -> Result<ServerAnswer, BackendError> {
        let sent_at = Instant::now();
        let server = self.server();
        let _in_flight = self.crash_probe.register(sent_at, head.fingerprint);
        match self.send(head, body, server.as_ref()).await {
            Err(BackendError::ConnectionLost(cause)) => match self.detect_crash(sent_at).await {
                Some(crash) => {
                    self.record_run_end(server.as_ref());
                    Err(BackendError::Crashed(crash))
                }
                None => {
                    self.crash_probe.record_loss(head.fingerprint);
                    Err(BackendError::ConnectionLost(cause))
                }
            },
            Err(BackendError::NoListener(cause)) => {
                self.record_run_end(server.as_ref());
                Err(BackendError::NoListener(cause))
            }
            Ok(answer) if answer.is_final() => {
                self.shared.record_answer(head.fingerprint);
                Ok(answer)
            }
            result => result,
        }
    }

    async fn send(
        &self,
        head: &CallHead,
        body: Payload,
        server: Option<&ServerId>,
    ) -> Result<ServerAnswer, BackendError> {
        let protocol = &self.shared.protocol;
        let mut headers = head.headers.clone();
        protocol.add_attempt(&mut headers, head, Instant::now(), server);
        let (run, sent_at) = (self.run(), Instant::now());
        let answer = self.backend.send(head, headers, body).await?;
        let (parts, body) = answer.into_parts();
        if parts.status.as_u16() > MAX_STATUS {
            let cause = format!("{} is no status code", parts.status.as_u16());
            return Err(BackendError::InvalidAnswer(cause.into()));
        }
        let meaning = protocol.answer_meaning(head, parts.status, &parts.headers);
        let notice = protocol.read_notice(&parts.headers);
        if matches!(meaning, AnswerMeaning::Answer | AnswerMeaning::NotRun) && run == self.run() {
            // A header missing from a refusal or an error has no meaning.
            let is_complete = meaning == AnswerMeaning::Answer && !parts.status.is_server_error();
            self.record_notice(sent_at, notice, is_complete);
        }
        match meaning {
            AnswerMeaning::Answer => {}
            AnswerMeaning::NotRun => return Err(BackendError::NotRun(notice.retry_after)),
            AnswerMeaning::OtherServer(found) => {
                self.record_mismatch(server, found.as_ref());
                return Err(BackendError::OtherServer(found));
            }
            AnswerMeaning::Invalid => {
                let cause = "the answer belongs to another call or is not from a backend server";
                return Err(BackendError::InvalidAnswer(cause.into()));
            }
        }
        let length = body.size_hint().exact();
        Ok(ServerAnswer {
            status: parts.status,
            headers: strip_hop_headers(parts.headers),
            length,
            body: read_small(body, self.shared.resources.charge(Purpose::Answer)).await?,
        })
    }
}
