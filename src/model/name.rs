//! Names of services, classes, data centres, halls and callers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::Error;

/// Longest accepted name, in bytes.
const MAX_BYTES: usize = 64;

fn check_name(kind: &'static str, text: &str) -> Result<(), Error> {
    if text.is_empty() || text.len() > MAX_BYTES {
        return Err(Error::value(
            kind,
            format!("\"{text}\" must have 1 to {MAX_BYTES} characters"),
        ));
    }
    let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !text.chars().all(valid) {
        return Err(Error::value(
            kind,
            format!("\"{text}\" may hold only a-z, 0-9 and '-'"),
        ));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name!(
    /// The name of a service.
    ServiceName,
    "service name"
);
name!(
    /// The name of a class of work.
    ClassName,
    "class name"
);
name!(
    /// The name of a data centre.
    CentreName,
    "data centre name"
);
name!(
    /// The name of a hall within a data centre.
    HallName,
    "hall name"
);
name!(
    /// The name of a route.
    RouteName,
    "route name"
);
name!(
    /// The name of a caller, as declared in the rules.
    CallerName,
    "caller name"
);
