//! Protocols: the headers exchanged with callers and the backend server.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderName, StatusCode};
use tokio::time::Instant;

use super::{CallHead, Refusal};
use crate::model::{CallId, KeyDigest, Notice, RootId, ServerId, ServiceName, WorkspaceName};

/// What a protocol reads from the headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of the call; if the headers carry one, all daemons derive the same.
    pub call: CallId,
    /// The root request that the call belongs to, if the headers name it.
    pub root: Option<RootId>,
    /// The parent call, if the headers name it.
    pub parent: Option<CallId>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's count of its attempts, from 1.
    pub attempt: Option<u32>,
    /// Digest of the caller's API key; the key itself is not stored.
    pub key: Option<KeyDigest>,
}

/// The sender of a request, as the entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin<'o> {
    /// The service of the backend server on whose VM the request began.
    pub service: &'o ServiceName,
    /// The workspace of the API key that the request carried.
    pub workspace: Option<&'o WorkspaceName>,
}

/// What a backend server's answer means for the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// It is the answer to the call.
    Answer,
    /// The backend server has not run the call and will not.
    NotRun,
    /// A different run of a backend server listens at the address and has not run
    /// the call; carries that run's id if the answer names it.
    OtherServer(Option<ServerId>),
    /// The answer doesn't belong to this call or can't be interpreted.
    Invalid,
}

/// Headers exchanged with callers and the backend server.
///
/// A protocol only reads and writes headers; entry and guard decide what follows
/// from them.
pub trait Protocol: Send + Sync {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed; the message names the valid form.
    fn read_request(&self, parts: &Parts) -> Result<RequestInfo, Box<str>>;

    /// Returns the caller's own id of a request, or an empty text.
    fn request_id<'r>(&self, headers: &'r HeaderMap) -> &'r str;

    /// Converts a caller's headers to those that are forwarded to the backend
    /// server: its API key is removed, and whatever it claims about its identity is
    /// replaced by `from`.
    fn forward_headers(&self, headers: &HeaderMap, from: RequestOrigin<'_>) -> HeaderMap;

    /// Adds the headers of one attempt: its id, its remaining time, and the run of
    /// the backend server that it is for.
    fn add_attempt(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        now: Instant,
        server: Option<&ServerId>,
    );

    /// Returns what a backend server's answer means for the call.
    fn answer_meaning(
        &self,
        head: &CallHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMeaning;

    /// Returns the header of a request that the backend server repeats in its answer.
    fn answer_id_header(&self) -> Option<HeaderName> {
        None
    }

    /// Reads the backend server's notice from an answer.
    fn read_notice(&self, _: &HeaderMap) -> Notice {
        Notice::default()
    }

    /// Returns the status of the response to a refused caller.
    fn refusal_status(&self, refusal: &Refusal) -> StatusCode;

    /// Formats the time after which a refused caller may retry.
    fn format_retry_after(&self, time: Duration) -> String;

    /// Adds the headers that identify the call to an answer.
    fn add_call_id(&self, headers: &mut HeaderMap, call: CallId, request: &HeaderMap);
}
