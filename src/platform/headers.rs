//! The platform's headers on requests and answers.

use std::time::Duration;

use http::header::{EXPECT, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use crate::call::{
    AnswerMeaning, CallHead, Protocol, Reason, Refusal, RequestInfo, RequestOrigin,
    strip_hop_headers,
};
use crate::model::{CallId, KeyDigest, Notice, Rate, RequestedRate, RootId, ServerId, Verdict};

/// Identifies one attempt of a caller; servers repeat it in their answers.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits, in whole milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The run of a server that a request is meant for.
const MEANT_FOR: HeaderName = HeaderName::from_static("x-expect-instance");
/// The run of a server that answered.
const ANSWERED_BY: HeaderName = HeaderName::from_static("x-instance-id");
/// Set by a server that has not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by a server on all answers that are its own.
const SIGNATURE: HeaderName = HeaderName::from_static("x-server-signature");
/// Set by a server in need: the requests a second that it takes from all VMs.
const RATE: HeaderName = HeaderName::from_static("server-limit");
/// Set to [`YES`] by a server that is about to stop.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const YES: &[u8] = b"1";
/// The service on whose VM the request began.
const ORIGIN: HeaderName = HeaderName::from_static("x-caller-service");
/// The caller's key; nothing else stands in it.
const KEY: HeaderName = HeaderName::from_static("api-key");
/// The workspace of the key, told to the backend server.
const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");

/// Separates the id of a request from that of a call made for it. This was
/// seen on requests and is promised nowhere, so it is only a hint.
const ID_SEPARATOR: char = '.';

/// The platform's headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

fn call_of(id: &str) -> CallId {
    CallId::new(xxh3_128(id.as_bytes()))
}

/// Reads the rate that an answer names, the least where it names several.
fn named_rate(headers: &HeaderMap) -> RequestedRate {
    if !headers.contains_key(&RATE) {
        return RequestedRate::None;
    }
    let words = headers.get_all(&RATE).iter();
    let words = words.filter_map(|value| value.to_str().ok());
    let named = words.flat_map(|value| value.split(',')).filter_map(rate);
    named
        .min()
        .map_or(RequestedRate::Unreadable, RequestedRate::Some)
}

/// Reads one rate; a server that names one below zero takes nothing.
fn rate(text: &str) -> Option<Rate> {
    let requests: f64 = text.trim().parse().ok()?;
    requests.is_finite().then(|| Rate::per_second(requests))
}

/// Reads a time in seconds, which may have fractions.
fn seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

impl Protocol for PlatformProtocol {
    fn read_request(&self, parts: &Parts) -> Result<RequestInfo, Box<str>> {
        let text = |name: &HeaderName| parts.headers.get(name)?.to_str().ok();
        let left = text(&TIME_LEFT).and_then(|left| left.trim().parse().ok());
        let id = text(&REQUEST_ID);
        let family = id.and_then(|id| id.rsplit_once(ID_SEPARATOR));
        let root = id.and_then(|id| id.split(ID_SEPARATOR).next());
        Ok(RequestInfo {
            call: id.map_or_else(CallId::random, call_of),
            root: root.map(|root| RootId::new(xxh3_128(root.as_bytes()))),
            parent: family.map(|(parent, _)| call_of(parent)),
            timeout: left.map(Duration::from_millis),
            attempt: None,
            key: parts
                .headers
                .get(&KEY)
                .map(|key| KeyDigest::of(key.as_bytes().trim_ascii())),
        })
    }

    fn request_id<'r>(&self, headers: &'r HeaderMap) -> &'r str {
        let id = headers.get(&REQUEST_ID).and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    fn forward_headers(&self, headers: &HeaderMap, from: RequestOrigin<'_>) -> HeaderMap {
        let mut kept = strip_hop_headers(headers.clone());
        for name in [&TIME_LEFT, &MEANT_FOR, &EXPECT, &KEY, &WORKSPACE] {
            kept.remove(name);
        }
        if let Ok(service) = HeaderValue::from_str(from.service.as_str()) {
            kept.insert(ORIGIN, service);
        }
        let workspace = from
            .workspace
            .map(|name| HeaderValue::from_str(name.as_str()));
        if let Some(Ok(workspace)) = workspace {
            kept.insert(WORKSPACE, workspace);
        }
        kept
    }

    fn add_attempt(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        now: Instant,
        server: Option<&ServerId>,
    ) {
        let left = head.deadline.saturating_duration_since(now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX).max(1);
        headers.insert(TIME_LEFT, HeaderValue::from(left));
        if let Some(Ok(id)) = server.map(|server| HeaderValue::from_str(server.as_str())) {
            headers.insert(MEANT_FOR, id);
        }
    }

    fn answer_meaning(
        &self,
        head: &CallHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMeaning {
        if headers.get(&REQUEST_ID) != head.headers.get(&REQUEST_ID) {
            return AnswerMeaning::Invalid;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            let found = headers.get(&ANSWERED_BY).and_then(|id| id.to_str().ok());
            return AnswerMeaning::OtherServer(found.and_then(|id| id.parse().ok()));
        }
        if headers.contains_key(&NOT_RUN) {
            return AnswerMeaning::NotRun;
        }
        if !headers.contains_key(&SIGNATURE) {
            return AnswerMeaning::Invalid;
        }
        AnswerMeaning::Answer
    }

    fn read_notice(&self, headers: &HeaderMap) -> Notice {
        let leaving = headers.get_all(&LEAVING).iter();
        Notice {
            rate: named_rate(headers),
            leaving: leaving.into_iter().any(|word| word.as_bytes() == YES),
            retry_after: headers.get(RETRY_AFTER).and_then(seconds),
        }
    }

    /// 503 promises that the request has not run and never will, so it is
    /// said of nothing else.
    fn refusal_status(&self, refusal: &Refusal) -> StatusCode {
        match (refusal.verdict(), refusal.reason()) {
            (Verdict::MayHaveRun | Verdict::Ran, Reason::Timeout) => StatusCode::GATEWAY_TIMEOUT,
            (Verdict::MayHaveRun | Verdict::Ran, _) => StatusCode::BAD_GATEWAY,
            (Verdict::NotRun, Reason::NoSuchService) => StatusCode::NOT_FOUND,
            (Verdict::NotRun, Reason::UnknownKey) => StatusCode::UNAUTHORIZED,
            (Verdict::NotRun, Reason::OverRate) => StatusCode::TOO_MANY_REQUESTS,
            (Verdict::NotRun, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            (Verdict::NotRun, Reason::BadRequest | Reason::IncompleteRequest) => {
                StatusCode::BAD_REQUEST
            }
            (Verdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn format_retry_after(&self, time: Duration) -> String {
        format!("{:.3}", time.as_secs_f64())
    }

    fn add_call_id(&self, headers: &mut HeaderMap, _: CallId, request: &HeaderMap) {
        if let Some(id) = request.get(&REQUEST_ID) {
            headers.insert(REQUEST_ID, id.clone());
        }
    }
}
