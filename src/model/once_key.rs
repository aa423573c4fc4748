//! Idempotency keys of once calls, which must run at most once.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use super::Instance;
use crate::error::Error;

/// Longest accepted key, in bytes.
const MAX_BYTES: usize = 255;

/// Prefix of keys that were issued by a daemon.
const TICKET_PREFIX: &str = "bm1.";

/// The time at which a key was created, in Unix milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MintTime(u64);

impl MintTime {
    /// Creates a mint time from Unix milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the time in Unix milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `ms` milliseconds later, or the latest possible time.
    pub const fn saturating_add(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since `earlier`, or 0 if that is later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An idempotency key; its form determines which instance may start the call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OnceKey {
    /// Issued by a daemon and permanently bound to one instance.
    Ticket {
        /// The only instance that may start the call.
        instance: Instance,
        /// Distinguishes the keys of the instance.
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

    /// Returns when the key was created, if it carries that time.
    pub fn mint_time(&self) -> Option<MintTime> {
        match self {
            Self::Ticket { id, .. } | Self::Dated(id) => {
                let (secs, nanos) = id.get_timestamp()?.to_unix();
                Some(MintTime(secs * 1000 + u64::from(nanos) / 1_000_000))
            }
            Self::Opaque(_) => None,
        }
    }

    /// Returns a uniformly distributed hash, the same on every VM.
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
        let invalid = |message: &str| Error::value("idempotency key", message);
        if text.is_empty() || text.len() > MAX_BYTES {
            return Err(invalid("it must have 1 to 255 characters"));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(invalid("it may hold only printable ASCII without spaces"));
        }
        if let Some(rest) = text.strip_prefix(TICKET_PREFIX) {
            let (instance, id) = rest
                .rsplit_once('.')
                .ok_or_else(|| invalid("a ticket must end in '.' and an id"))?;
            let id =
                Uuid::try_parse(id).map_err(|_| invalid("the id of a ticket must be a UUID"))?;
            let instance = instance.parse()?;
            return Ok(Self::Ticket { instance, id });
        }
        match Uuid::try_parse(text) {
            Ok(id) if id.get_version_num() == 7 => Ok(Self::Dated(id)),
            _ => Ok(Self::Opaque(text.into())),
        }
    }
}
