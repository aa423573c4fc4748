//! Decisions of the front besides admission levels.

/// Decisions that the front makes besides admission levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontOptions {
    /// Whether refused callers get a backoff that fits their time and the demand.
    pub backoff: bool,
    /// Whether returning callers go before others of their class.
    pub boost: bool,
    /// Whether call trees that cannot reach a service are refused.
    pub fail_fast: bool,
}

impl FrontOptions {
    /// Admission levels alone.
    pub const NONE: Self = Self {
        backoff: false,
        boost: false,
        fail_fast: false,
    };

    /// Returns whether the time that callers have left is used.
    pub const fn uses_time(self) -> bool {
        self.backoff || self.boost
    }
}
