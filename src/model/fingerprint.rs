//! Fingerprints of requests.

use std::fmt;

use http::Method;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The parts of a request that are the same in all its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'r> {
    /// The method.
    pub method: &'r Method,
    /// The host, without its port.
    pub host: &'r str,
    /// Path and query.
    pub target: &'r str,
    /// The body.
    pub body: &'r [u8],
}

/// Digests of a request's content and of its caller.
///
/// All attempts at a request have the same fingerprint, even if they reach
/// different daemons under different ids. The digest of the content has 128
/// bits so that no two of the few thousand requests stored at one time collide;
/// that of the caller only has to distinguish a few callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// Digest of the request's content.
    pub digest: u128,
    /// Digest of the caller's name.
    pub caller: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request whose whole body is known.
    pub fn of(content: RequestContent<'_>, caller: &str) -> Self {
        let mut hasher = Xxh3::new();
        let head = [
            content.method.as_str().as_bytes(),
            content.host.as_bytes(),
            content.target.as_bytes(),
        ];
        for part in head {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        Self {
            digest: hasher.digest128(),
            caller: xxh3_64(caller.as_bytes()),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}/{:016x}", self.digest, self.caller)
    }
}
