//! Parsing and writing of the platform's headers and the operator's document.

#![allow(missing_docs)]

use std::time::Duration;

use bramleymount::call::{
    AnswerMeaning, Attempt, CallHead, Protocol, Reason, Refusal, RequestOrigin,
};
use bramleymount::model::{
    AttemptId, CallId, ClassRank, Depth, Priority, Rate, RequestedRate, Retries, RootId, ServerId,
    ServiceName, Version,
};
use bramleymount::platform::{PlatformProtocol, read_document};
use bramleymount::policy::admission::Shed;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

fn header_map(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let value = HeaderValue::from_str(value).expect("a value");
            (http::HeaderName::from_static(name), value)
        })
        .collect()
}

fn call_head(headers: HeaderMap, left: Duration) -> CallHead {
    CallHead {
        attempt: AttemptId::new(1),
        call: CallId::new(1),
        root: RootId::new(1),
        service: "huvo11a".parse().expect("a name"),
        caller: None,
        workspace: None,
        class: "rank-0".parse().expect("a name"),
        priority: Priority::new(ClassRank::new(0), Depth::default(), RootId::new(1)),
        depth: Depth::default(),
        single_call: false,
        deadline: Instant::now() + left,
        expires: Instant::now() + left,
        granted_retries: Retries::new(0),
        once: None,
        repeat: false,
        method: Method::GET,
        target: "/a".into(),
        headers,
        fingerprint: None,
        notice: None,
        may_wait: false,
    }
}

fn origin_of(service: &ServiceName) -> RequestOrigin<'_> {
    RequestOrigin {
        service,
        workspace: None,
    }
}

#[rstest]
#[case::answer(200, &[("x-request-id", "r1"), ("x-server-signature", "s")], AnswerMeaning::Answer)]
#[case::failure(500, &[("x-request-id", "r1"), ("x-server-signature", "s")], AnswerMeaning::Answer)]
#[case::unsigned(200, &[("x-request-id", "r1")], AnswerMeaning::Invalid)]
#[case::another(200, &[("x-request-id", "r0"), ("x-server-signature", "s")], AnswerMeaning::Invalid)]
#[case::nameless(200, &[("x-server-signature", "s")], AnswerMeaning::Invalid)]
#[case::full(503, &[("x-request-id", "r1"), ("x-not-executed", "1")], AnswerMeaning::NotRun)]
#[case::not_said(503, &[("x-request-id", "r1")], AnswerMeaning::Invalid)]
#[case::moved(421, &[("x-request-id", "r1")], AnswerMeaning::OtherServer(None))]
fn meaning_of_answers(
    #[case] status: u16,
    #[case] headers: &[(&'static str, &str)],
    #[case] expected: AnswerMeaning,
) {
    let head = call_head(
        header_map(&[("x-request-id", "r1")]),
        Duration::from_secs(1),
    );
    let status = StatusCode::from_u16(status).expect("a status");
    let meaning = PlatformProtocol.answer_meaning(&head, status, &header_map(headers));
    assert_eq!(meaning, expected);
}

#[test]
fn meaning_names_other_server() {
    let head = call_head(
        header_map(&[("x-request-id", "r1")]),
        Duration::from_secs(1),
    );
    let answer = header_map(&[("x-request-id", "r1"), ("x-instance-id", "i-2")]);
    let meaning = PlatformProtocol.answer_meaning(&head, StatusCode::MISDIRECTED_REQUEST, &answer);
    let other: ServerId = "i-2".parse().expect("an id");
    assert_eq!(meaning, AnswerMeaning::OtherServer(Some(other)));
}

#[test]
fn forward_sets_origin_and_drops_hop_headers() {
    let sent = header_map(&[
        ("host", "a.example"),
        ("x-request-id", "r1"),
        ("x-deadline-ms", "5000"),
        ("x-caller-service", "forged"),
        ("x-expect-instance", "forged"),
        ("connection", "keep-alive, x-private"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("x-kept", "1"),
    ]);
    let origin = "own-service".parse().expect("a name");
    let forwarded = PlatformProtocol.forward_headers(&sent, origin_of(&origin));
    let expected = header_map(&[
        ("host", "a.example"),
        ("x-request-id", "r1"),
        ("x-caller-service", "own-service"),
        ("x-kept", "1"),
    ]);
    assert_eq!(forwarded, expected);
}

#[tokio::test(start_paused = true)]
async fn add_attempt_sets_time_left() {
    let head = call_head(
        header_map(&[("x-request-id", "r1")]),
        Duration::from_millis(700),
    );
    tokio::time::advance(Duration::from_millis(200)).await;
    let mut headers = HeaderMap::new();
    let server: ServerId = "i-1".parse().expect("an id");
    PlatformProtocol.add_attempt(&mut headers, &head, Instant::now(), Some(&server));
    assert_eq!(
        headers,
        header_map(&[("x-deadline-ms", "500"), ("x-expect-instance", "i-1")])
    );
}

#[rstest]
#[case::own("9c41", "9c41", None)]
#[case::onward("9c41.2", "9c41", Some("9c41"))]
#[case::deeper("9c41.2.7", "9c41", Some("9c41.2"))]
fn read_request_derives_parent_from_id(
    #[case] id: &str,
    #[case] root: &str,
    #[case] parent: Option<&str>,
) {
    let info = |id: &str| {
        let request = Request::builder()
            .header("x-request-id", id)
            .header("x-deadline-ms", "1200")
            .body(())
            .expect("a request");
        PlatformProtocol
            .read_request(&request.into_parts().0)
            .expect("request info")
    };
    let read = info(id);
    assert_eq!(read.timeout, Some(Duration::from_millis(1200)));
    assert_eq!(read.root, info(root).root);
    assert_eq!(read.parent, parent.map(|parent| info(parent).call));
}

fn refusals() -> Vec<Refusal> {
    let shed = [
        Shed::Overload,
        Shed::Limited,
        Shed::Downstream,
        Shed::Deadline,
        Shed::Cancelled,
        Shed::Leaving,
    ];
    let plain = [
        Reason::NoConfig,
        Reason::Unreachable,
        Reason::Rejected,
        Reason::Replaced,
        Reason::IncompleteAnswer,
        Reason::InvalidAnswer,
        Reason::Timeout,
    ];
    let reasons: Vec<Reason> = plain.into_iter().chain(shed.map(Reason::Shed)).collect();
    let refused = reasons.iter().map(|r| Attempt::plan().refuse(*r, ""));
    let lost = reasons
        .iter()
        .map(|r| Attempt::plan().mark_sent().abandon(*r, ""));
    refused.chain(lost).collect()
}

/// A status of 408, 421, 429 or 503 promises that a request has not run and never
/// will; callers repeat unsafe requests after it.
#[test]
fn refusal_status_promises_not_run_only_if_true() {
    let promises = [408, 421, 429, 503];
    for refusal in refusals() {
        let status = PlatformProtocol.refusal_status(&refusal).as_u16();
        let promised = promises.contains(&status);
        let not_run = refusal.verdict() == bramleymount::model::Verdict::NotRun;
        assert_eq!(promised, not_run, "{refusal:?} gives {status}");
    }
}

#[test]
fn retry_after_keeps_fractions() {
    let text = PlatformProtocol.format_retry_after(Duration::from_millis(250));
    assert_eq!(text, "0.250");
}

const DOCUMENT: &str = r#"{"version":7,"news":true,"routes":{
"r-a":{"authority":"hulo84.example","pathPrefix":"/leny950/","routeType":"idempotent","timeoutS":1.2,"goalS":1.5,"priority":2,"split":[{"upstream":"huvo11a","weight":90},{"upstream":"lovo22d","weight":0.5}],"attempts":2},
"r-b":{"authority":"hulo84.example","pathPrefix":"/leny950/deep/","routeType":"non_idempotent","timeoutS":1.5,"goalS":2,"priority":0,"upstream":"wuno96b","attempts":1},
"r-c":{"authority":"other.example","pathPrefix":"/","routeType":"upload","timeoutS":3,"goalS":2,"priority":9,"upstream":"wuno96b","attempts":1}},
"services":{"huvo11a":{"healthPath":"/healthz","maxConns":532,"protocol":"h1","tls":false}},"limits":{}}"#;

#[rstest]
#[case::longest("hulo84.example", "/leny950/deep/x", Some("r-b"))]
#[case::shorter("hulo84.example", "/leny950/dee", Some("r-a"))]
#[case::slash_counts("hulo84.example", "/leny950", None)]
#[case::other_host("other.example", "/leny950/", Some("r-c"))]
#[case::unknown_host("nowhere.example", "/leny950/", None)]
fn route_by_host_and_longest_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let declared = read_document(DOCUMENT.as_bytes()).expect("a document");
    let route = declared.estate.route(host, path);
    assert_eq!(route.map(|route| route.name.as_str()), expected);
}

#[test]
fn read_document_classes_by_priority() {
    let declared = read_document(DOCUMENT.as_bytes()).expect("a document");
    assert_eq!(declared.version, Version::new(7));
    let estate = declared.estate;
    let class = |name: &str| {
        let route = estate.routes.iter().find(|r| r.name.as_str() == name);
        route.expect("a route").class.as_str().to_owned()
    };
    assert_eq!(
        ["r-b", "r-a", "r-c"].map(class),
        ["rank-0", "rank-1", "rank-2"]
    );
    assert_eq!(estate.services.len(), 3);
    let split = bramleymount::declare::split(&estate);
    assert_eq!(
        bramleymount::declare::join(&split).expect("an estate"),
        estate
    );
}

#[rstest]
#[case::repeatable("r-a", true)]
#[case::unsafe_request("r-b", false)]
#[case::upload("r-c", false)]
fn read_document_repeats_only_idempotent_routes(#[case] name: &str, #[case] idempotent: bool) {
    let declared = read_document(DOCUMENT.as_bytes()).expect("a document");
    let route = declared
        .estate
        .routes
        .iter()
        .find(|r| r.name.as_str() == name);
    assert_eq!(route.expect("a route").idempotent, idempotent);
}

#[rstest]
#[case::large_answers("download", true)]
#[case::large_bodies("upload", false)]
#[case::not_known("stream", false)]
fn read_document_repeats_by_kind(#[case] kind: &str, #[case] idempotent: bool) {
    let document = DOCUMENT.replace("upload", kind);
    let declared = read_document(document.as_bytes()).expect("a document");
    let mut routes = declared.estate.routes.iter();
    let route = routes.find(|route| route.name.as_str() == "r-c");
    assert_eq!(route.expect("a route").idempotent, idempotent);
}

#[rstest]
#[case::cut_short(&DOCUMENT[..300])]
#[case::no_version(r#"{"routes":{}}"#)]
#[case::no_time(r#"{"version":1,"routes":{"a":{"authority":"a","pathPrefix":"/","routeType":"idempotent","timeoutS":0,"goalS":1,"priority":0,"upstream":"b","attempts":1}}}"#)]
fn read_document_refuses_invalid(#[case] text: &str) {
    assert!(read_document(text.as_bytes()).is_err());
}

proptest! {
    #[test]
    fn read_document_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = read_document(&bytes);
    }
}

fn estate_with(workspaces: &str) -> bramleymount::declare::Estate {
    let route = |name: &str, priority: u32| {
        format!(
            r#""{name}":{{"authority":"a","pathPrefix":"/{name}/","routeType":"idempotent",
            "timeoutS":1,"goalS":1,"priority":{priority},"upstream":"s","attempts":1}}"#
        )
    };
    let text = format!(
        r#"{{"version":1,"routes":{{{},{}}},"services":{{}}{workspaces}}}"#,
        route("urgent", 0),
        route("plain", 2),
    );
    read_document(text.as_bytes()).expect("a document").estate
}

/// The class ranks of `urgent` and `plain` requests.
fn ranks(estate: &bramleymount::declare::Estate, workspace: Option<&str>) -> [u8; 2] {
    ["urgent", "plain"].map(|name| {
        let route = estate.routes.iter().find(|r| r.name.as_str() == name);
        let class = &route.expect("the route").class;
        let workspace = workspace.map(|name| {
            let name = name.parse().expect("a name");
            let all = estate.workspaces.as_ref().expect("workspaces");
            all.get(&name).expect("the workspace")
        });
        let instead = workspace.and_then(|workspace| workspace.classes.get(class));
        let class = instead.unwrap_or(class);
        estate.class(class.as_str()).expect("a class").0.get()
    })
}

#[test]
fn workspace_priority_outranks_route() {
    let estate = estate_with(
        r#","tenants":{"first":{"apiKeys":["a"],"priority":1},
        "second":{"apiKeys":["b"],"priority":5},"none":{"apiKeys":["c"]}}"#,
    );
    assert_eq!(ranks(&estate, Some("first")), [0, 1]);
    assert_eq!(ranks(&estate, Some("second")), [2, 3]);
    assert_eq!(ranks(&estate, Some("none")), [0, 1]);
    assert_eq!(ranks(&estate, None), [0, 1]);
    assert_eq!(ranks(&estate_with(""), None), [0, 1]);
    assert!(estate_with("").workspaces.is_none());
}

#[test]
fn workspace_rate_of_zero_or_none_is_no_limit() {
    let estate = estate_with(
        r#","tenants":{"a":{"apiKeys":["a"],"ratePerS":2.5,"burst":4},
        "b":{"apiKeys":["b"],"ratePerS":0,"burst":4},"c":{"apiKeys":["c"]}}"#,
    );
    let workspaces = estate.workspaces.expect("workspaces");
    let limits: Vec<Option<(f64, u32)>> = workspaces
        .all()
        .iter()
        .map(|workspace| workspace.limit.map(|limit| (limit.rate.get(), limit.burst)))
        .collect();
    assert_eq!(limits, [Some((2.5, 4)), None, None]);
}

#[rstest]
#[case::absent(&[], RequestedRate::None)]
#[case::decimal(&["21.9"], RequestedRate::Some(Rate::per_second(21.9)))]
#[case::nothing(&["0"], RequestedRate::Some(Rate::per_second(0.0)))]
#[case::below_one(&[" 0.25 "], RequestedRate::Some(Rate::per_second(0.25)))]
#[case::below_zero(&["-3"], RequestedRate::Some(Rate::per_second(0.0)))]
#[case::huge(&["1e300"], RequestedRate::Some(Rate::per_second(1e300)))]
#[case::endless(&["inf"], RequestedRate::Unreadable)]
#[case::no_number(&["NaN"], RequestedRate::Unreadable)]
#[case::text(&["some"], RequestedRate::Unreadable)]
#[case::empty(&[""], RequestedRate::Unreadable)]
#[case::twice(&["30", "8"], RequestedRate::Some(Rate::per_second(8.0)))]
#[case::once_readable(&["some", "8"], RequestedRate::Some(Rate::per_second(8.0)))]
fn read_notice_rate(#[case] values: &[&'static str], #[case] expected: RequestedRate) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("server-limit", HeaderValue::from_static(value));
    }
    assert_eq!(PlatformProtocol.read_notice(&headers).rate, expected);
}

#[rstest]
#[case::absent(None, false)]
#[case::said("1", true)]
#[case::not("0", false)]
#[case::other("yes", false)]
fn read_notice_leaving(#[case] value: impl Into<Option<&'static str>>, #[case] expected: bool) {
    let mut headers = HeaderMap::new();
    if let Some(value) = value.into() {
        headers.insert("server-leaving", HeaderValue::from_static(value));
    }
    assert_eq!(PlatformProtocol.read_notice(&headers).leaving, expected);
}
