//! Reads and writes the platform's headers on requests and answers.

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

/// Id of one attempt of a caller; servers echo it in their answers.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender still waits, in whole milliseconds.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The run of a server that is expected to handle the request.
const EXPECTED_SERVER_HEADER: HeaderName = HeaderName::from_static("x-expect-instance");
/// The run of the server that answered.
const SERVER_ID_HEADER: HeaderName = HeaderName::from_static("x-instance-id");
/// Set by a server that has not run the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by a server on all answers that it generates itself.
const SIGNATURE_HEADER: HeaderName = HeaderName::from_static("x-server-signature");
/// Set by an overloaded server: the requests per second that it accepts from all VMs.
const RATE_HEADER: HeaderName = HeaderName::from_static("server-limit");
/// Set to [`FLAG_SET`] by a server that is about to stop.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("server-leaving");
const FLAG_SET: &[u8] = b"1";
/// The service on whose VM the request originated.
const ORIGIN_HEADER: HeaderName = HeaderName::from_static("x-caller-service");
/// The caller's API key, without a scheme or other prefix.
const API_KEY_HEADER: HeaderName = HeaderName::from_static("api-key");
/// The workspace of the key, forwarded to the backend server.
const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("x-tenant");

/// Separates the id of a request from the suffix of a call made for it. The
/// platform does not guarantee this format, so it is only a hint.
const ID_SEPARATOR: char = '.';

/// The protocol of the platform's callers and backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformProtocol;

fn call_id(id: &str) -> CallId {
    CallId::new(xxh3_128(id.as_bytes()))
}

/// Returns the rate that an answer requests, the lowest if it names several.
fn requested_rate(headers: &HeaderMap) -> RequestedRate {
    if !headers.contains_key(&RATE_HEADER) {
        return RequestedRate::None;
    }
    let values = headers.get_all(&RATE_HEADER).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let rates = values
        .flat_map(|value| value.split(','))
        .filter_map(parse_rate);
    rates
        .min()
        .map_or(RequestedRate::Unreadable, RequestedRate::Some)
}

/// Parses one rate; a negative one counts as zero.
fn parse_rate(text: &str) -> Option<Rate> {
    let requests: f64 = text.trim().parse().ok()?;
    requests.is_finite().then(|| Rate::per_second(requests))
}

/// Parses a time in seconds, which may have fractions.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

impl Protocol for PlatformProtocol {
    fn read_request(&self, parts: &Parts) -> Result<RequestInfo, Box<str>> {
        let text = |name: &HeaderName| parts.headers.get(name)?.to_str().ok();
        let left = text(&TIME_LEFT_HEADER).and_then(|left| left.trim().parse().ok());
        let id = text(&REQUEST_ID_HEADER);
        let parent_and_suffix = id.and_then(|id| id.rsplit_once(ID_SEPARATOR));
        let root = id.and_then(|id| id.split(ID_SEPARATOR).next());
        Ok(RequestInfo {
            call: id.map_or_else(CallId::random, call_id),
            root: root.map(|root| RootId::new(xxh3_128(root.as_bytes()))),
            parent: parent_and_suffix.map(|(parent, _)| call_id(parent)),
            timeout: left.map(Duration::from_millis),
            attempt: None,
            key: parts
                .headers
                .get(&API_KEY_HEADER)
                .map(|key| KeyDigest::of(key.as_bytes().trim_ascii())),
        })
    }

    fn request_id<'r>(&self, headers: &'r HeaderMap) -> &'r str {
        let id = headers
            .get(&REQUEST_ID_HEADER)
            .and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    fn forward_headers(&self, headers: &HeaderMap, from: RequestOrigin<'_>) -> HeaderMap {
        let mut kept = strip_hop_headers(headers.clone());
        for name in [
            &TIME_LEFT_HEADER,
            &EXPECTED_SERVER_HEADER,
            &EXPECT,
            &API_KEY_HEADER,
            &WORKSPACE_HEADER,
        ] {
            kept.remove(name);
        }
        if let Ok(service) = HeaderValue::from_str(from.service.as_str()) {
            kept.insert(ORIGIN_HEADER, service);
        }
        let workspace = from
            .workspace
            .map(|name| HeaderValue::from_str(name.as_str()));
        if let Some(Ok(workspace)) = workspace {
            kept.insert(WORKSPACE_HEADER, workspace);
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
        let left = head.expires.saturating_duration_since(now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX).max(1);
        headers.insert(TIME_LEFT_HEADER, HeaderValue::from(left));
        if let Some(Ok(id)) = server.map(|server| HeaderValue::from_str(server.as_str())) {
            headers.insert(EXPECTED_SERVER_HEADER, id);
        }
    }

    fn answer_meaning(
        &self,
        head: &CallHead,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerMeaning {
        if headers.get(&REQUEST_ID_HEADER) != head.headers.get(&REQUEST_ID_HEADER) {
            return AnswerMeaning::Invalid;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            let server = headers
                .get(&SERVER_ID_HEADER)
                .and_then(|id| id.to_str().ok());
            return AnswerMeaning::OtherServer(server.and_then(|id| id.parse().ok()));
        }
        if headers.contains_key(&NOT_RUN_HEADER) {
            return AnswerMeaning::NotRun;
        }
        if !headers.contains_key(&SIGNATURE_HEADER) {
            return AnswerMeaning::Invalid;
        }
        AnswerMeaning::Answer
    }

    fn answer_id_header(&self) -> Option<HeaderName> {
        Some(REQUEST_ID_HEADER)
    }

    fn read_notice(&self, headers: &HeaderMap) -> Notice {
        let leaving = headers.get_all(&LEAVING_HEADER).iter();
        Notice {
            rate: requested_rate(headers),
            leaving: leaving
                .into_iter()
                .any(|value| value.as_bytes() == FLAG_SET),
            retry_after: headers.get(RETRY_AFTER).and_then(parse_seconds),
        }
    }

    /// 503 promises that the request has not run and never will, so no other
    /// refusal gets it.
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
        if let Some(id) = request.get(&REQUEST_ID_HEADER) {
            headers.insert(REQUEST_ID_HEADER, id.clone());
        }
    }
}
