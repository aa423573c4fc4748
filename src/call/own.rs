//! The product's own headers.

use std::time::Duration;

use http::header::{AUTHORIZATION, CONNECTION, EXPECT, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::time::Instant;

use super::{CallHead, Facts, Meaning, Origin, Protocol, Refusal};
use crate::model::{CallId, KeyDigest, ServerId, Span};

/// The header by which onward calls name the call they belong to.
pub const CALL: HeaderName = HeaderName::from_static("bramleymount-call");
/// By which a caller says how long it waits, such as `250ms`.
pub const TIMEOUT: HeaderName = HeaderName::from_static("bramleymount-timeout");
/// By which a caller counts its attempts at one request, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("bramleymount-attempt");
/// By which the backend server is told whose key a caller has sent.
pub const WORKSPACE: HeaderName = HeaderName::from_static("bramleymount-workspace");

/// What stands before an API key in the header of that name.
const BEARER: &str = "Bearer ";

/// Longest time that a caller may wait.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Headers that concern one connection only.
static HOP: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Returns the headers without those that concern one connection only, be it
/// by their name or since the connection header lists them.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    if headers.contains_key(CONNECTION) {
        let listed: Vec<HeaderValue> = headers.get_all(CONNECTION).iter().cloned().collect();
        let listed = listed.iter().filter_map(|value| value.to_str().ok());
        for name in listed.flat_map(|value| value.split(',')) {
            headers.remove(name.trim());
        }
    }
    for name in &HOP {
        headers.remove(name);
    }
    headers
}

/// The product's own headers, for callers that reach it directly.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnProtocol;

impl Protocol for OwnProtocol {
    fn read(&self, parts: &Parts) -> Result<Facts, Box<str>> {
        let text = |name: &HeaderName| parts.headers.get(name)?.to_str().ok();
        let timeout = match parts.headers.get(&TIMEOUT) {
            None => None,
            Some(value) => {
                let span: Result<Span, _> = value.to_str().unwrap_or("?").parse();
                let span = span.map_err(Box::<str>::from)?;
                Some(span.get().min(MAX_TIMEOUT))
            }
        };
        Ok(Facts {
            call: CallId::random(),
            root: None,
            parent: text(&CALL).and_then(|id| id.parse().ok()),
            timeout,
            attempt: text(&ATTEMPT).and_then(|count| count.parse().ok()),
            key: text(&AUTHORIZATION)
                .and_then(|value| value.strip_prefix(BEARER))
                .map(|key| KeyDigest::of(key.trim().as_bytes())),
        })
    }

    fn id<'r>(&self, _: &'r HeaderMap) -> &'r str {
        ""
    }

    fn forward(&self, headers: &HeaderMap, from: Origin<'_>) -> HeaderMap {
        let mut kept = end_to_end(headers.clone());
        for name in [&HOST, &CALL, &TIMEOUT, &ATTEMPT, &EXPECT, &WORKSPACE] {
            kept.remove(name);
        }
        if let Some(workspace) = from.workspace {
            kept.remove(AUTHORIZATION);
            if let Ok(name) = HeaderValue::from_str(workspace.as_str()) {
                kept.insert(WORKSPACE, name);
            }
        }
        kept
    }

    fn address(&self, headers: &mut HeaderMap, head: &CallHead, _: Instant, _: Option<&ServerId>) {
        if let Ok(call) = HeaderValue::from_str(&head.call.to_string()) {
            headers.insert(CALL, call);
        }
    }

    fn meaning(&self, _: &CallHead, _: StatusCode, _: &HeaderMap) -> Meaning {
        Meaning::Answer
    }

    fn status(&self, refusal: &Refusal) -> StatusCode {
        refusal.reason().status()
    }

    fn retry_after(&self, time: Duration) -> String {
        time.as_millis().div_ceil(1000).to_string()
    }

    fn sign(&self, headers: &mut HeaderMap, call: CallId, _: &HeaderMap) {
        if let Ok(call) = HeaderValue::from_str(&call.to_string()) {
            headers.insert(CALL, call);
        }
    }
}
