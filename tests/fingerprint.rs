//! Two attempts at one request have one fingerprint, and no others have it.

#![allow(missing_docs)]

use bramleymount::model::{Fingerprint, RequestContent};
use http::Method;
use rstest::rstest;

fn asked<'r>(
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
fn fingerprint_of_one_request_is_one() {
    let of = || Fingerprint::of(asked(&Method::GET, "a.example", "/read/x?a=1", b""), "till");
    assert_eq!(of(), of());
}

#[rstest]
#[case::method(asked(&Method::HEAD, "a.example", "/read/x", b"body"))]
#[case::host(asked(&Method::GET, "b.example", "/read/x", b"body"))]
#[case::target(asked(&Method::GET, "a.example", "/read/x?", b"body"))]
#[case::body(asked(&Method::GET, "a.example", "/read/x", b"Body"))]
#[case::border(asked(&Method::GET, "a.example/", "read/x", b"body"))]
#[case::border_of_body(asked(&Method::GET, "a.example", "/read/xb", b"ody"))]
fn fingerprint_tells_requests_apart(#[case] other: RequestContent<'static>) {
    let one = asked(&Method::GET, "a.example", "/read/x", b"body");
    let (one, other) = (Fingerprint::of(one, "till"), Fingerprint::of(other, "till"));
    assert_ne!(one.digest, other.digest);
    assert_eq!(one.caller, other.caller);
}

#[test]
fn fingerprint_tells_callers_apart() {
    let of = |caller| Fingerprint::of(asked(&Method::GET, "a.example", "/", b""), caller);
    assert_eq!(of("till").digest, of("desk").digest);
    assert_ne!(of("till"), of("desk"));
}
