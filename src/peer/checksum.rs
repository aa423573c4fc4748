//! Length and digest of a streamed body.

use xxhash_rust::xxh3::Xxh3;

use super::generated::Tail;

/// Length and digest of a body, computed chunk by chunk.
#[derive(Default)]
pub(super) struct BodyChecksum {
    length: u64,
    hasher: Xxh3,
}

impl BodyChecksum {
    pub(super) fn update(&mut self, chunk: &[u8]) {
        self.length += chunk.len() as u64;
        self.hasher.update(chunk);
    }

    pub(super) fn tail(&self) -> Tail {
        Tail {
            length: self.length,
            digest: self.hasher.digest(),
            account: 0,
        }
    }

    pub(super) fn matches(&self, tail: &Tail) -> bool {
        self.length == tail.length && self.hasher.digest() == tail.digest
    }
}
