//! Heads of plain requests and responses between daemons.

use std::io;

use http::StatusCode;

/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 32;

/// The length of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// A known number of bytes.
    Known(usize),
    /// Chunks, up to an empty one.
    Chunked,
}

/// The framing of a message, as given by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Framing {
    length: BodyLength,
    /// Whether the connection stays open.
    keep_alive: bool,
}

/// The head of a request.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) path: Box<str>,
    /// The length of the body.
    pub(super) length: BodyLength,
    /// Whether another request may follow on the connection.
    pub(super) keep_alive: bool,
}

/// The head of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    /// The length of the body.
    pub(super) length: BodyLength,
    /// Whether another request may follow on the connection.
    pub(super) keep_alive: bool,
}

pub(super) fn invalid_data(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn framing(version: Option<u8>, headers: &[httparse::Header<'_>]) -> io::Result<Framing> {
    let mut framing = Framing {
        length: BodyLength::Known(0),
        keep_alive: version == Some(1),
    };
    for header in headers {
        let value = header.value.trim_ascii();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|n| n.parse().ok());
            framing.length = BodyLength::Known(
                length.ok_or_else(|| invalid_data("the content length is not a number"))?,
            );
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") {
                return Err(invalid_data("the transfer encoding is not supported"));
            }
            framing.length = BodyLength::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            framing.keep_alive &= !value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(framing)
}

/// Parses the head of a request, and returns it with its length. Returns `None`
/// if it is incomplete.
pub(super) fn parse_request(bytes: &[u8]) -> io::Result<Option<(usize, RequestHead)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(bytes);
    let httparse::Status::Complete(length) =
        parsed.map_err(|_| invalid_data("invalid request head"))?
    else {
        return Ok(None);
    };
    let framing = framing(head.version, head.headers)?;
    let request = RequestHead {
        path: head.path.unwrap_or_default().into(),
        length: framing.length,
        keep_alive: framing.keep_alive,
    };
    Ok(Some((length, request)))
}

/// Parses the head of a response, and returns it with its length. Returns `None`
/// if it is incomplete.
pub(super) fn parse_response(bytes: &[u8]) -> io::Result<Option<(usize, ResponseHead)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(bytes);
    let httparse::Status::Complete(length) =
        parsed.map_err(|_| invalid_data("invalid response head"))?
    else {
        return Ok(None);
    };
    let framing = framing(head.version, head.headers)?;
    let status = StatusCode::from_u16(head.code.unwrap_or_default());
    let response = ResponseHead {
        status: status.map_err(|_| invalid_data("invalid status code"))?,
        length: framing.length,
        keep_alive: framing.keep_alive,
    };
    Ok(Some((length, response)))
}

/// Formats the head of a request with a body of `length` bytes.
pub(super) fn request_head(path: &str, host: &str, length: usize) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {length}\r\n\r\n").into()
}

/// Formats the head of a response.
pub(super) fn response_head(status: StatusCode, length: BodyLength) -> Vec<u8> {
    let framing = match length {
        BodyLength::Known(length) => format!("content-length: {length}"),
        BodyLength::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    format!("HTTP/1.1 {status}\r\n{framing}\r\n\r\n").into()
}
