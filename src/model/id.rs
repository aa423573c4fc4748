//! Identifiers of calls and attempts.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;

macro_rules! id {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(u128);

        impl $type {
            /// Creates a random id.
            pub fn random() -> Self {
                Self(rand::random())
            }

            /// Creates an id from its number.
            pub const fn new(value: u128) -> Self {
                Self(value)
            }

            /// Returns the id as a number.
            pub const fn get(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Uuid::try_parse(text)
                    .map(|id| Self(id.as_u128()))
                    .map_err(|_| Error::value($kind, format!("\"{text}\" must be 32 hex digits")))
            }
        }
    };
}

id!(
    /// Identifies one call to one service; onward calls name it as their parent.
    CallId,
    "call id"
);
id!(
    /// Identifies one attempt at a call; answers are matched to it.
    AttemptId,
    "attempt id"
);
id!(
    /// Identifies the caller's request at the root of a call tree.
    RootId,
    "root id"
);

impl RootId {
    /// Returns a uniformly distributed hash, the same on every VM.
    pub fn hash(self) -> u64 {
        xxh3_64(&self.0.to_le_bytes())
    }
}
