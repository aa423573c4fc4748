//! What the front of an estate decides besides the levels.

/// What the front of an estate decides besides the levels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontOptions {
    /// When refused callers return, by their time and the demand.
    pub backoff: bool,
    /// Callers who come back go before others of their class.
    pub boost: bool,
    /// Trees are refused whose calls cannot reach a service.
    pub fail_fast: bool,
}

impl FrontOptions {
    /// Decides nothing besides the levels.
    pub const NONE: Self = Self {
        backoff: false,
        boost: false,
        fail_fast: false,
    };

    /// Tells whether the time that callers have matters.
    pub const fn uses_time(self) -> bool {
        self.backoff || self.boost
    }
}
