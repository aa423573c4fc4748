//! Digests of API keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::error::Error;

/// Prefix that separates these digests from other digests of the same text.
const DOMAIN: &[u8] = b"bramleymount api key\0";
/// Half of a SHA-256 digest: long enough to rule out chance collisions and
/// second preimages.
const DIGEST_BYTES: usize = 16;

/// Replaces an API key once it has been read, so that no table, log line or
/// message between daemons contains the key itself.
///
/// All daemons compute the same digest of a key. Keys are random, so they can't
/// be guessed from their digests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let hasher = Sha256::new().chain_update(DOMAIN).chain_update(key);
        let full = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        // The text may be a key written in the wrong place, so the error omits it.
        let invalid = || Error::value("digest of a key", "it must be 32 hexadecimal digits");
        if text.len() != 2 * DIGEST_BYTES {
            return Err(invalid());
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| invalid())?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
