//! Which part of a message the server is given next.

use super::head_scanner::HeadScanner;

/// Which part of a message the server is given next.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    /// Its head.
    Head(HeadScanner),
    /// Nothing, until the server has told how long the body is.
    AwaitingLength,
    /// So many bytes of its body; nothing more until it is answered.
    Body(u64),
    /// All that comes: where messages end is not known.
    Unbounded,
}

impl Stage {
    /// Before the first byte of a message.
    pub(super) fn new() -> Self {
        Self::Head(HeadScanner::default())
    }

    /// Tells whether the server has the whole message.
    pub(super) const fn is_whole(&self) -> bool {
        matches!(self, Self::Body(0))
    }

    /// Passes bytes to the server; returns how many belong to the message.
    pub(super) fn consume(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Head(scanner) => match scanner.find_end(bytes) {
                Some(count) => {
                    *self = Self::AwaitingLength;
                    count
                }
                None => bytes.len(),
            },
            // The server takes the head to go on, so nothing is known.
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
