//! Idempotency keys of calls that must run at most once.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::Instance;
use crate::error::Error;

/// Longest key that is accepted, in bytes.
const MAX_LEN: usize = 255;

/// What a key begins with that a daemon issued.
const TICKET_PREFIX: &str = "bm1.";

/// When a key was made, in milliseconds of Unix time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MintTime(u64);

impl MintTime {
    /// Makes a mint time from milliseconds of Unix time.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns milliseconds of Unix time.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time that is `ms` milliseconds later.
    pub const fn saturating_add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this time, or 0.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An idempotency key, by what it says of the instance that may start it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OnceKey {
    /// Issued by a daemon and bound to one instance for good.
    Ticket {
        /// The only instance that may start the call.
        instance: Instance,
        /// What tells this key from others of the instance.
        id: Uuid,
    },
    /// A version 7 UUID, which carries its mint time.
    Dated(Uuid),
    /// Any other text.
    Opaque(Box<str>),
}

impl OnceKey {
    /// Issues a key bound to `instance`.
    pub fn ticket(instance: Instance) -> Self {
        let id = Uuid::now_v7();
        Self::Ticket { instance, id }
    }

    /// Returns when the key was made, if it says so.
    pub fn mint_time(&self) -> Option<MintTime> {
        match self {
            Self::Ticket { id, .. } | Self::Dated(id) => {
                let (secs, nanos) = id.get_timestamp()?.to_unix();
                Some(MintTime(secs * 1000 + u64::from(nanos) / 1_000_000))
            }
            Self::Opaque(_) => None,
        }
    }

    /// Returns a well-mixed hash, the same on every VM.
    pub fn hash(&self) -> u64 {
        match self {
            Self::Ticket { id, .. } | Self::Dated(id) => xxh3_64(id.as_bytes()),
            Self::Opaque(text) => xxh3_64(text.as_bytes()),
        }
    }
}

impl fmt::Display for OnceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ticket { instance, id } => write!(f, "{TICKET_PREFIX}{instance}.{id}"),
            Self::Dated(id) => id.fmt(f),
            Self::Opaque(text) => f.write_str(text),
        }
    }
}

impl FromStr for OnceKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = |message: &str| Error::value("idempotency key", message);
        if text.is_empty() || text.len() > MAX_LEN {
            return Err(wrong("it must have 1 to 255 characters"));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(wrong("it may hold only printable ASCII without spaces"));
        }
        if let Some(rest) = text.strip_prefix(TICKET_PREFIX) {
            let (instance, id) = rest
                .rsplit_once('.')
                .ok_or_else(|| wrong("it begins as a ticket but has no id"))?;
            let id = Uuid::try_parse(id).map_err(|_| wrong("the id of the ticket is no UUID"))?;
            let instance = instance.parse()?;
            return Ok(Self::Ticket { instance, id });
        }
        match Uuid::try_parse(text) {
            Ok(id) if id.get_version_num() == 7 => Ok(Self::Dated(id)),
            _ => Ok(Self::Opaque(text.into())),
        }
    }
}
