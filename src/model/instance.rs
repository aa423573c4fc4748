//! Identifies one run of a daemon.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::error::Error;

/// Distinguishes successive runs at the same address.
///
/// The high bits hold the start time in milliseconds and the low bits are
/// random, so that stamps stay unique even if a clock is set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StartStamp(u64);

/// Number of random bits below the start time.
const RANDOM_BITS: u32 = 20;

impl StartStamp {
    /// Creates the stamp of a run that starts at `unix_ms`, in Unix milliseconds.
    pub fn new(unix_ms: u64, random: u32) -> Self {
        let low = u64::from(random) & ((1 << RANDOM_BITS) - 1);
        Self(unix_ms << RANDOM_BITS | low)
    }

    /// Returns the stamp as a number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// One run of a daemon: its peer address and start stamp, never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance {
    /// The address on which the daemon accepts calls from its peers.
    pub address: SocketAddr,
    /// The stamp of this run.
    pub start: StartStamp,
}

impl Instance {
    /// Creates an instance from its parts.
    pub const fn new(address: SocketAddr, start: StartStamp) -> Self {
        Self { address, start }
    }

    /// Returns a hash of the address, the same for all runs at this address.
    pub fn hash(&self, seed: u64) -> u64 {
        let mut bytes = [0; 18];
        match self.address.ip() {
            IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
            IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
        }
        bytes[16..].copy_from_slice(&self.address.port().to_le_bytes());
        xxh3_64_with_seed(&bytes, seed)
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.address, self.start.0)
    }
}

impl FromStr for Instance {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::value("instance", format!("\"{text}\" must be IP:PORT@HEX"));
        let (address, stamp) = text.split_once('@').ok_or_else(invalid)?;
        let address = address.parse().map_err(|_| invalid())?;
        let stamp = u64::from_str_radix(stamp, 16).map_err(|_| invalid())?;
        Ok(Self::new(address, StartStamp(stamp)))
    }
}

impl Serialize for Instance {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Instance {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
