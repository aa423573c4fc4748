//! One question to the backend server, and what it says of the server.

use http::{HeaderMap, StatusCode};
use hyper::body::Body;
use tokio::time::Instant;

use super::Guard;
use super::backend::{AnswerBody, BackendError, read_small};
use crate::call::{CallHead, Meaning, end_to_end};
use crate::model::ServerId;
use crate::web::Payload;

/// The backend server's answer, its body read so far as it is small.
pub(super) struct ServerAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) length: Option<u64>,
    pub(super) body: AnswerBody,
}

impl ServerAnswer {
    /// Tells whether the backend server went through with the call: it did not
    /// fail it on the way, and the answer is here whole.
    fn is_final(&self) -> bool {
        !self.status.is_server_error() && matches!(self.body, AnswerBody::Whole(_))
    }
}

impl Guard {
    /// Asks the backend server; tells a crash from an answer that was cut.
    ///
    /// What is learned of the request outlives it, since a query of death comes
    /// again under other ids: held after three crashes, it ends no more servers
    /// where it ended 25 in eight seconds (`tests/query_of_death.rs`).
    pub(super) async fn request(
        &self,
        head: &CallHead,
        body: Payload,
    ) -> Result<ServerAnswer, BackendError> {
        let sent_at = Instant::now();
        let server = self.server();
        match self.send(head, body, server.as_ref()).await {
            Err(BackendError::ConnectionLost(cause)) => match self.detect_crash(sent_at).await {
                Some(crash) => {
                    self.shared.record_own_crash(head.fingerprint, crash);
                    self.record_run_end(server.as_ref());
                    Err(BackendError::Crashed(crash))
                }
                None => Err(BackendError::ConnectionLost(cause)),
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
        protocol.address(&mut headers, head, Instant::now(), server);
        let (run, sent_at) = (self.run(), Instant::now());
        let answer = self.backend.send(head, headers, body).await?;
        let (parts, body) = answer.into_parts();
        let meaning = protocol.meaning(head, parts.status, &parts.headers);
        let notice = protocol.notice(&parts.headers);
        if matches!(meaning, Meaning::Answer | Meaning::NotRun) && run == self.run() {
            // A refusal or an error says nothing by what it leaves out.
            let in_order = meaning == Meaning::Answer && !parts.status.is_server_error();
            self.record_notice(sent_at, notice, in_order);
        }
        match meaning {
            Meaning::Answer => {}
            Meaning::NotRun => return Err(BackendError::NotRun(notice.retry_after)),
            Meaning::OtherServer(found) => {
                self.record_mismatch(server, found.as_ref());
                return Err(BackendError::OtherServer(found));
            }
            Meaning::Garbage => {
                let cause = "the answer is to another call, or no server's";
                return Err(BackendError::InvalidAnswer(cause.into()));
            }
        }
        let length = body.size_hint().exact();
        Ok(ServerAnswer {
            status: parts.status,
            headers: end_to_end(parts.headers),
            length,
            body: read_small(body).await?,
        })
    }
}
