//! The part of a request that the HTTP server reads next.

use super::head_scanner::HeadScanner;

/// The part of a request that the HTTP server reads next.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    /// The head.
    Head(HeadScanner),
    /// Nothing, until the server has parsed the head and the body's length is known.
    AwaitingLength,
    /// This many bytes of the body, then nothing until the request is answered.
    Body(u64),
    /// Everything, since the ends of requests aren't known.
    Unbounded,
}

impl Stage {
    /// Returns the stage before the first byte of a request.
    pub(super) fn new() -> Self {
        Self::Head(HeadScanner::default())
    }

    /// Returns whether the server has read the whole request.
    pub(super) const fn is_whole(&self) -> bool {
        matches!(self, Self::Body(0))
    }

    /// Returns how many of `bytes` the server may read, and moves on past them.
    pub(super) fn consume(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Head(scanner) => match scanner.find_end(bytes) {
                Some(count) => {
                    *self = Self::AwaitingLength;
                    count
                }
                None => bytes.len(),
            },
            // The server reads on as if the head weren't complete, so the end of
            // the request isn't known.
            Self::AwaitingLength => {
                *self = Self::Unbounded;
                bytes.len()
            }
            Self::Body(rest) => {
                let count = usize::try_from(*rest).map_or(bytes.len(), |n| n.min(bytes.len()));
                *rest -= count as u64;
                count
            }
            Self::Unbounded => bytes.len(),
        }
    }
}
