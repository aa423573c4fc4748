//! What a request asks for, and who asks.

use std::fmt;

use http::Method;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The parts of a request that all attempts at it have in common.
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

/// A digest of what a request asks for, and one of who asks.
///
/// Two attempts at the same request have the same one, also if they come to
/// different daemons under different ids. What is asked for has 128 bits, so
/// that no two of the few thousand requests that are remembered at one time
/// share a digest by chance; who asks only tells a few callers apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint {
    /// What is asked for.
    pub digest: u128,
    /// Who asks.
    pub caller: u64,
}

impl Fingerprint {
    /// Computes the fingerprint of a request whose body is known whole.
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
