//! Ids in messages of the peer protocol.

use bytes::Bytes;

use crate::error::Error;
use crate::model::AttemptId;

/// Encodes an id as 16 big-endian bytes.
pub(super) fn encode_id(id: u128) -> Bytes {
    Bytes::copy_from_slice(&id.to_be_bytes())
}

/// Decodes an id.
///
/// # Errors
///
/// Fails if it does not have 16 bytes.
pub(super) fn decode_id(bytes: &[u8]) -> Result<u128, Error> {
    bytes
        .try_into()
        .map(u128::from_be_bytes)
        .map_err(|_| Error::value("id", "it must have 16 bytes"))
}

/// Decodes an attempt id.
///
/// # Errors
///
/// Fails if it does not have 16 bytes.
pub(super) fn decode_attempt_id(bytes: &[u8]) -> Result<AttemptId, Error> {
    decode_id(bytes).map(AttemptId::new)
}
