//! Fingerprints: equal for all attempts at a request, different for other requests.

#![allow(missing_docs)]

use bramleymount::model::{Fingerprint, RequestContent};
use http::Method;
use rstest::rstest;

fn content<'r>(
    method: &'r Method,
    host: &'r str,
    target: &'r str,
    body: &'r [u8],
) -> RequestContent<'r> {
    RequestContent {
        method,
        host,
        target,
        body,
    }
}

#[test]
fn fingerprint_equal_for_same_request() {
    let of = || {
        Fingerprint::of(
            content(&Method::GET, "a.example", "/read/x?a=1", b""),
            "till",
        )
    };
    assert_eq!(of(), of());
}

#[rstest]
#[case::method(content(&Method::HEAD, "a.example", "/read/x", b"body"))]
#[case::host(content(&Method::GET, "b.example", "/read/x", b"body"))]
#[case::target(content(&Method::GET, "a.example", "/read/x?", b"body"))]
#[case::body(content(&Method::GET, "a.example", "/read/x", b"Body"))]
#[case::boundary(content(&Method::GET, "a.example/", "read/x", b"body"))]
#[case::body_boundary(content(&Method::GET, "a.example", "/read/xb", b"ody"))]
fn fingerprint_differs_between_requests(#[case] other: RequestContent<'static>) {
    let one = content(&Method::GET, "a.example", "/read/x", b"body");
    let (one, other) = (Fingerprint::of(one, "till"), Fingerprint::of(other, "till"));
    assert_ne!(one.digest, other.digest);
    assert_eq!(one.caller, other.caller);
}

#[test]
fn fingerprint_differs_between_callers() {
    let of = |caller| Fingerprint::of(content(&Method::GET, "a.example", "/", b""), caller);
    assert_eq!(of("till").digest, of("desk").digest);
    assert_ne!(of("till"), of("desk"));
}
