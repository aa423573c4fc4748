//! The built-in header protocol.

use std::time::Duration;

use http::header::{AUTHORIZATION, CONNECTION, EXPECT, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::time::Instant;

use super::{AnswerMeaning, CallHead, Protocol, Refusal, RequestInfo, RequestOrigin};
use crate::model::{CallId, KeyDigest, PositiveDuration, ServerId};

/// Header by which onward calls name their parent call.
pub const CALL_HEADER: HeaderName = HeaderName::from_static("bramleymount-call");
/// Header with the time that a caller waits, such as `250ms`.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("bramleymount-timeout");
/// Header with a caller's count of its attempts at one request, from 1.
pub const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("bramleymount-attempt");
/// Header that names to the backend server the workspace of a caller's key.
pub const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("bramleymount-workspace");

/// Prefix of an API key in the `authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// Longest timeout of a caller; greater ones are capped.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Hop-by-hop headers, which apply to one connection only.
static HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the headers without hop-by-hop headers, including those that the
/// `connection` header lists.
pub fn strip_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    if headers.contains_key(CONNECTION) {
        let listed: Vec<HeaderValue> = headers.get_all(CONNECTION).iter().cloned().collect();
        let listed = listed.iter().filter_map(|value| value.to_str().ok());
        for name in listed.flat_map(|value| value.split(',')) {
            headers.remove(name.trim());
        }
    }
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers
}

/// The built-in header protocol, for callers that reach a daemon directly.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnProtocol;

impl Protocol for OwnProtocol {
    fn read_request(&self, parts: &Parts) -> Result<RequestInfo, Box<str>> {
        let text = |name: &HeaderName| parts.headers.get(name)?.to_str().ok();
        let timeout = match parts.headers.get(&TIMEOUT_HEADER) {
            None => None,
            Some(value) => {
                let parsed: Result<PositiveDuration, _> = value.to_str().unwrap_or("?").parse();
                let timeout = parsed.map_err(Box::<str>::from)?;
                Some(timeout.get().min(MAX_TIMEOUT))
            }
        };
        Ok(RequestInfo {
            call: CallId::random(),
            root: None,
            parent: text(&CALL_HEADER).and_then(|id| id.parse().ok()),
            timeout,
            attempt: text(&ATTEMPT_HEADER).and_then(|count| count.parse().ok()),
            key: text(&AUTHORIZATION)
                .and_then(|value| value.strip_prefix(BEARER_PREFIX))
                .map(|key| KeyDigest::of(key.trim().as_bytes())),
        })
    }

    fn request_id<'r>(&self, _: &'r HeaderMap) -> &'r str {
        ""
    }

    fn forward_headers(&self, headers: &HeaderMap, from: RequestOrigin<'_>) -> HeaderMap {
        let mut forwarded = strip_hop_headers(headers.clone());
        for name in [
            &HOST,
            &CALL_HEADER,
            &TIMEOUT_HEADER,
            &ATTEMPT_HEADER,
            &EXPECT,
            &WORKSPACE_HEADER,
        ] {
            forwarded.remove(name);
        }
        if let Some(workspace) = from.workspace {
            forwarded.remove(AUTHORIZATION);
            if let Ok(name) = HeaderValue::from_str(workspace.as_str()) {
                forwarded.insert(WORKSPACE_HEADER, name);
            }
        }
        forwarded
    }

    fn add_attempt(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        _: Instant,
        _: Option<&ServerId>,
    ) {
        if let Ok(call) = HeaderValue::from_str(&head.call.to_string()) {
            headers.insert(CALL_HEADER, call);
        }
    }

    fn answer_meaning(&self, _: &CallHead, _: StatusCode, _: &HeaderMap) -> AnswerMeaning {
        AnswerMeaning::Answer
    }

    fn refusal_status(&self, refusal: &Refusal) -> StatusCode {
        refusal.reason().status()
    }

    fn format_retry_after(&self, time: Duration) -> String {
        time.as_millis().div_ceil(1000).to_string()
    }

    fn add_call_id(&self, headers: &mut HeaderMap, call: CallId, _: &HeaderMap) {
        if let Ok(call) = HeaderValue::from_str(&call.to_string()) {
            headers.insert(CALL_HEADER, call);
        }
    }
}
