//! The body of a plain call and of its answer: a message, then the payload.

use bytes::{Bytes, BytesMut};
use prost::Message;

use crate::error::Error;

/// Writes a message behind its length, and the payload after it.
pub(super) fn join(message: &impl Message, payload: &[u8]) -> Bytes {
    let length = message.encoded_len();
    let prefix = prost::length_delimiter_len(length);
    let mut whole = BytesMut::with_capacity(prefix + length + payload.len());
    message
        .encode_length_delimited(&mut whole)
        .expect("a buffer that grows takes any message");
    whole.extend_from_slice(payload);
    whole.freeze()
}

/// Takes the message off the front of a body; what is left is the payload.
///
/// # Errors
///
/// Fails if the body does not begin with a message.
pub(super) fn take<M: Message + Default>(body: &mut Bytes) -> Result<M, Error> {
    M::decode_length_delimited(body).map_err(|e| Error::value("message", e.to_string()))
}
