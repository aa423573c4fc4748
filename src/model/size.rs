//! Counts and sizes with bounds.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

macro_rules! size {
    ($(#[$doc:meta])* $type:ident, $kind:literal, $low:literal, $high:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(u32);

        impl $type {
            /// Creates a size that is known to be within its bounds.
            pub const fn new(value: u32) -> Self {
                Self(value)
            }

            /// Returns the size as a number.
            pub const fn get(self) -> u32 {
                self.0
            }

            fn checked(value: i64) -> Result<Self, Error> {
                match u32::try_from(value) {
                    Ok(n) if ($low..=$high).contains(&n) => Ok(Self(n)),
                    _ => Err(Error::value(
                        $kind,
                        format!("{value} must be from {} to {}", $low, $high),
                    )),
                }
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let value = text.parse().map_err(|_| {
                    Error::value($kind, format!("\"{text}\" must be a whole number"))
                })?;
                Self::checked(value)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_u32(self.0)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let value = i64::deserialize(d)?;
                Self::checked(value).map_err(serde::de::Error::custom)
            }
        }
    };
}

size!(
    /// The number of calls that a backend server runs concurrently.
    Slots,
    "number of slots",
    1,
    100_000
);
size!(
    /// The number of connections that a backend server's VM accepts.
    Connections,
    "number of connections",
    1,
    1_000_000
);
size!(
    /// The number of retries that one request may use in its whole call tree.
    Retries,
    "number of retries",
    0,
    100
);
size!(
    /// The share of a service in a route, relative to the route's other services.
    Weight,
    "weight",
    0,
    1_000_000
);
size!(
    /// A size in bytes.
    Bytes,
    "number of bytes",
    1,
    1_073_741_824
);
