//! The body of a plain call and of its answer: a message, then the payload.

use bytes::{BufMut, Bytes, BytesMut};
use http::HeaderMap;
use prost::encoding::encode_varint;
use prost::{Message, length_delimiter_len};

use super::generated as wire;
use crate::error::Error;

/// The key of the headers in the head of a call.
const CALL_HEADERS: u8 = key(14);
/// The key of the headers in the head of an answer.
const ANSWER_HEADERS: u8 = key(3);
/// The key of the head in a frame of an answer.
const ANSWER_HEAD: u8 = key(1);
/// The keys of a header's name and value.
const NAME: u8 = key(1);
const VALUE: u8 = key(2);

/// Returns the key of a field of bytes, whose tag is below 16.
const fn key(tag: u8) -> u8 {
    tag << 3 | 2
}

/// Writes a message behind its length, and the payload after it.
pub(super) fn join(message: &impl Message, payload: &[u8]) -> Bytes {
    let length = message.encoded_len();
    let mut whole = room(length, payload);
    put_length(length, &mut whole);
    put(message, &mut whole);
    whole.extend_from_slice(payload);
    whole.freeze()
}

/// Writes the head of a call, which has no headers of its own, with `headers`,
/// and the payload after it.
pub(super) fn join_call(head: &wire::CallHead, headers: &HeaderMap, payload: &[u8]) -> Bytes {
    let length = head.encoded_len() + headers_len(headers);
    let mut whole = room(length, payload);
    put_length(length, &mut whole);
    put(head, &mut whole);
    put_headers(CALL_HEADERS, headers, &mut whole);
    whole.extend_from_slice(payload);
    whole.freeze()
}

/// Writes a frame with the head of an answer, which has no headers of its own,
/// with `headers`, and the payload after it.
pub(super) fn join_answer(head: &wire::AnswerHead, headers: &HeaderMap, payload: &[u8]) -> Bytes {
    let inner = head.encoded_len() + headers_len(headers);
    let length = part_len(inner);
    let mut whole = room(length, payload);
    put_length(length, &mut whole);
    begin_part(ANSWER_HEAD, inner, &mut whole);
    put(head, &mut whole);
    put_headers(ANSWER_HEADERS, headers, &mut whole);
    whole.extend_from_slice(payload);
    whole.freeze()
}

fn room(length: usize, payload: &[u8]) -> BytesMut {
    BytesMut::with_capacity(length_delimiter_len(length) + length + payload.len())
}

fn put(message: &impl Message, to: &mut BytesMut) {
    message
        .encode(to)
        .expect("a buffer that grows takes any message");
}

fn put_length(length: usize, to: &mut BytesMut) {
    encode_varint(length as u64, to);
}

/// Returns the bytes that a part of `length` bytes takes with its key.
fn part_len(length: usize) -> usize {
    1 + length_delimiter_len(length) + length
}

fn begin_part(key: u8, length: usize, to: &mut BytesMut) {
    to.put_u8(key);
    put_length(length, to);
}

fn header_len(name: &[u8], value: &[u8]) -> usize {
    part_len(name.len()) + part_len(value.len())
}

fn headers_len(headers: &HeaderMap) -> usize {
    let each = headers.iter();
    each.map(|(name, value)| part_len(header_len(name.as_ref(), value.as_bytes())))
        .sum()
}

/// Writes headers as they stand, without a message made of each.
fn put_headers(key: u8, headers: &HeaderMap, to: &mut BytesMut) {
    for (name, value) in headers {
        let (name, value): (&[u8], &[u8]) = (name.as_ref(), value.as_bytes());
        begin_part(key, header_len(name, value), to);
        begin_part(NAME, name.len(), to);
        to.extend_from_slice(name);
        begin_part(VALUE, value.len(), to);
        to.extend_from_slice(value);
    }
}

/// Takes the message off the front of a body; what is left is the payload.
///
/// # Errors
///
/// Fails if the body does not begin with a message.
pub(super) fn take<M: Message + Default>(body: &mut Bytes) -> Result<M, Error> {
    M::decode_length_delimited(body).map_err(|e| Error::value("message", e.to_string()))
}
