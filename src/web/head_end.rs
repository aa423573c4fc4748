//! The end of a request's head.

/// Finds the empty line that ends a head, over any number of reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HeadEnd {
    /// Nothing but empty lines has come, which may stand before a head.
    #[default]
    Before,
    /// Within a line.
    Line,
    /// At the start of a line.
    Start,
    /// After a carriage return at the start of a line.
    Return,
}

impl HeadEnd {
    /// Returns how many of the next bytes belong to the head, once it ends
    /// among them.
    pub(super) fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut place = 0;
        while let Some(byte) = bytes.get(place) {
            let (state, ended) = self.after(*byte);
            *self = state;
            place += 1;
            if ended {
                return Some(place);
            }
            if state == Self::Line {
                let rest = &bytes[place..];
                place += rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
            }
        }
        None
    }

    const fn after(self, byte: u8) -> (Self, bool) {
        match (self, byte) {
            (Self::Before, b'\r' | b'\n') => (Self::Before, false),
            (Self::Line, b'\n') => (Self::Start, false),
            (Self::Start | Self::Return, b'\n') => (Self::Start, true),
            (Self::Start, b'\r') => (Self::Return, false),
            _ => (Self::Line, false),
        }
    }
}
