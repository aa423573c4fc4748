//! Bodies of plain requests and responses: a length-delimited message followed
//! by the payload.

use bytes::{BufMut, Bytes, BytesMut};
use http::HeaderMap;
use prost::encoding::encode_varint;
use prost::{Message, length_delimiter_len};

use super::generated as wire;
use crate::error::Error;

/// Field key of the headers in the head of a call.
const CALL_HEADERS_KEY: u8 = bytes_key(14);
/// Field key of the headers in the head of an answer.
const ANSWER_HEADERS_KEY: u8 = bytes_key(3);
/// Field key of the head in a frame of an answer.
const ANSWER_HEAD_KEY: u8 = bytes_key(1);
/// Field keys of the name and value of a header.
const NAME_KEY: u8 = bytes_key(1);
const VALUE_KEY: u8 = bytes_key(2);

/// Returns the key of a length-delimited field, whose tag must be below 16.
const fn bytes_key(tag: u8) -> u8 {
    tag << 3 | 2
}

/// The body of a plain request or response. The payload is not copied, since it may be
/// large.
#[derive(Clone, Debug, Default)]
pub(super) struct PlainBody {
    /// The message with its length.
    pub(super) message: Bytes,
    pub(super) payload: Bytes,
}

impl PlainBody {
    /// Returns the length in bytes.
    pub(super) fn len(&self) -> usize {
        self.message.len() + self.payload.len()
    }
}

/// Encodes a message with its length.
pub(super) fn encode_body(message: &impl Message) -> PlainBody {
    let length = message.encoded_len();
    let mut body = buffer_for(length);
    append_length(length, &mut body);
    append_message(message, &mut body);
    PlainBody {
        message: body.freeze(),
        payload: Bytes::new(),
    }
}

/// Encodes the head of a call, whose own headers are empty, with `headers`,
/// followed by the payload.
pub(super) fn encode_call_body(
    head: &wire::CallHead,
    headers: &HeaderMap,
    payload: Bytes,
) -> PlainBody {
    let length = head.encoded_len() + headers_len(headers);
    let mut body = buffer_for(length);
    append_length(length, &mut body);
    append_message(head, &mut body);
    append_headers(CALL_HEADERS_KEY, headers, &mut body);
    PlainBody {
        message: body.freeze(),
        payload,
    }
}

/// Encodes a frame with the head of an answer, whose own headers are empty, with
/// `headers`, followed by the payload.
pub(super) fn encode_answer_body(
    head: &wire::AnswerHead,
    headers: &HeaderMap,
    payload: Bytes,
) -> PlainBody {
    let head_length = head.encoded_len() + headers_len(headers);
    let length = field_len(head_length);
    let mut body = buffer_for(length);
    append_length(length, &mut body);
    begin_field(ANSWER_HEAD_KEY, head_length, &mut body);
    append_message(head, &mut body);
    append_headers(ANSWER_HEADERS_KEY, headers, &mut body);
    PlainBody {
        message: body.freeze(),
        payload,
    }
}

fn buffer_for(length: usize) -> BytesMut {
    BytesMut::with_capacity(length_delimiter_len(length) + length)
}

fn append_message(message: &impl Message, to: &mut BytesMut) {
    message
        .encode(to)
        .expect("a growing buffer holds any message");
}

fn append_length(length: usize, to: &mut BytesMut) {
    encode_varint(length as u64, to);
}

/// Returns the encoded size of a field of `length` bytes, with its key.
fn field_len(length: usize) -> usize {
    1 + length_delimiter_len(length) + length
}

fn begin_field(key: u8, length: usize, to: &mut BytesMut) {
    to.put_u8(key);
    append_length(length, to);
}

fn header_len(name: &[u8], value: &[u8]) -> usize {
    field_len(name.len()) + field_len(value.len())
}

fn headers_len(headers: &HeaderMap) -> usize {
    let each = headers.iter();
    each.map(|(name, value)| field_len(header_len(name.as_ref(), value.as_bytes())))
        .sum()
}

/// Encodes headers directly, without a message for each.
fn append_headers(key: u8, headers: &HeaderMap, to: &mut BytesMut) {
    for (name, value) in headers {
        let (name, value): (&[u8], &[u8]) = (name.as_ref(), value.as_bytes());
        begin_field(key, header_len(name, value), to);
        begin_field(NAME_KEY, name.len(), to);
        to.extend_from_slice(name);
        begin_field(VALUE_KEY, value.len(), to);
        to.extend_from_slice(value);
    }
}

/// Removes and decodes the message at the start of a body, and leaves the
/// payload.
///
/// # Errors
///
/// Fails if the body does not begin with a valid message.
pub(super) fn take_message<M: Message + Default>(body: &mut Bytes) -> Result<M, Error> {
    M::decode_length_delimited(body).map_err(|e| Error::value("message", e.to_string()))
}
