//! Heads of pipelined requests that may start early.

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};

use super::MAX_HEADERS;

/// Headers that make the end of the request or of the connection unclear.
const UNSUITABLE_HEADERS: [HeaderName; 3] = [TRANSFER_ENCODING, UPGRADE, EXPECT];
/// The minor version of HTTP/1.1.
const HTTP_MINOR_VERSION: u8 = 1;

/// Parses the head of a safe request without a body that leaves the connection
/// open; `None` for any other request.
pub(super) fn parse_early_head(head: &Bytes) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(head) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) | Err(_) => return None,
    };
    if length != head.len() || parsed.version != Some(HTTP_MINOR_VERSION) {
        return None;
    }
    let method = match parsed.method? {
        "GET" => Method::GET,
        "HEAD" => Method::HEAD,
        _ => return None,
    };
    let target = head.slice_ref(parsed.path?.as_bytes());
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_maybe_shared(target).ok()?;
    *request.headers_mut() = read_headers(head, parsed.headers)?;
    let (parts, ()) = request.into_parts();
    is_suitable(&parts.headers).then_some(parts)
}

fn read_headers(head: &Bytes, headers: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(head.slice_ref(header.value)).ok()?;
        map.append(name, value);
    }
    Some(map)
}

fn is_suitable(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut connection = headers.get_all(CONNECTION).iter();
    lengths.all(|length| length == "0")
        && connection.all(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
        && !UNSUITABLE_HEADERS
            .iter()
            .any(|name| headers.contains_key(name))
}
