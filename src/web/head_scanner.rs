//! Search for the end of a request's head.

/// Finds the empty line that ends a head, across any number of reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum HeadScanner {
    /// Before the head; empty lines may precede it.
    #[default]
    BeforeHead,
    /// Within a line.
    InLine,
    /// At the start of a line.
    LineStart,
    /// After a carriage return at the start of a line.
    CarriageReturn,
}

impl HeadScanner {
    /// Returns how many of `bytes` belong to the head; `None` if it doesn't end in
    /// them.
    pub(super) fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut index = 0;
        while let Some(byte) = bytes.get(index) {
            let (state, is_end) = self.next_state(*byte);
            *self = state;
            index += 1;
            if is_end {
                return Some(index);
            }
            if state == Self::InLine {
                let rest = &bytes[index..];
                index += rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
            }
        }
        None
    }

    const fn next_state(self, byte: u8) -> (Self, bool) {
        match (self, byte) {
            (Self::BeforeHead, b'\r' | b'\n') => (Self::BeforeHead, false),
            (Self::InLine, b'\n') => (Self::LineStart, false),
            (Self::LineStart | Self::CarriageReturn, b'\n') => (Self::LineStart, true),
            (Self::LineStart, b'\r') => (Self::CarriageReturn, false),
            _ => (Self::InLine, false),
        }
    }
}
