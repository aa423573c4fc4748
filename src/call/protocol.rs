//! The headers spoken with callers and with the backend server.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use super::{CallHead, Refusal};
use crate::model::{CallId, KeyDigest, Notice, RootId, ServerId, ServiceName, WorkspaceName};

/// What the headers of a request say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of the call, the same for all who know its headers.
    pub call: CallId,
    /// The request that the call belongs to, if the headers tell.
    pub root: Option<RootId>,
    /// The call that this one is made for, if the headers tell.
    pub parent: Option<CallId>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's count of its attempts, from 1.
    pub attempt: Option<u32>,
    /// The caller's API key, of which nothing but the digest is kept.
    pub key: Option<KeyDigest>,
}

/// Who sent a request, as the entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin<'o> {
    /// The service of the backend server on whose VM it began.
    pub service: &'o ServiceName,
    /// The workspace of the key that came with it.
    pub workspace: Option<&'o WorkspaceName>,
}

/// What an answer of the backend server means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerMeaning {
    /// It is the answer to the call.
    Answer,
    /// The backend server has not run the call and will not.
    NotRun,
    /// Another run of a backend server stands at the address, whose id it may
    /// tell; it has not run the call.
    OtherServer(Option<ServerId>),
    /// It is no answer to this call.
    Invalid,
}

/// The headers spoken with callers and with the backend server.
///
/// A protocol only reads and writes headers; what follows from them is
/// decided by entry and guard.
pub trait Protocol: Send + Sync {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns what to write instead.
    fn read_request(&self, parts: &Parts) -> Result<RequestInfo, Box<str>>;

    /// Returns the id by which the caller knows a request, or nothing.
    fn request_id<'r>(&self, headers: &'r HeaderMap) -> &'r str;

    /// Makes the headers that go on to the backend server of those that a
    /// caller sent: without its key, and with who it is in place of whatever it
    /// said of that.
    fn forward_headers(&self, headers: &HeaderMap, from: RequestOrigin<'_>) -> HeaderMap;

    /// Adds what holds for one attempt: its id, what is left of its time, and
    /// the run of the backend server that it is meant for.
    fn add_attempt(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        now: Instant,
        server: Option<&ServerId>,
    );

    /// Tells what an answer of the backend server means.
    fn answer_meaning(
        &self,
        head: &CallHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMeaning;

    /// Reads what a backend server says of itself with an answer.
    fn read_notice(&self, _: &HeaderMap) -> Notice {
        Notice::default()
    }

    /// Returns the status by which a refusal is told to the caller.
    fn refusal_status(&self, refusal: &Refusal) -> StatusCode;

    /// Writes how long a refused caller should stay away.
    fn format_retry_after(&self, time: Duration) -> String;

    /// Adds what identifies the call to an answer.
    fn add_call_id(&self, headers: &mut HeaderMap, call: CallId, request: &HeaderMap);
}
