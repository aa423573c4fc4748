//! Network partitions between emulated data centres.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

use parking_lot::RwLock;

/// A data centre of the emulated network, identified by the third octet of its
/// loopback addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(u8);

impl Zone {
    /// Creates a zone from a number, counted from 1.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the loopback address of all servers in the zone.
    pub const fn ip(self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, self.0, 1))
    }

    /// Returns the zone of an address, or zone 0 for IPv6.
    pub fn from_ip(ip: IpAddr) -> Self {
        match ip {
            IpAddr::V4(ip) => Self(ip.octets()[2]),
            IpAddr::V6(_) => Self(0),
        }
    }
}

/// The current partitions between zones.
#[derive(Debug, Default)]
pub struct Network {
    partitions: RwLock<BTreeSet<(Zone, Zone)>>,
}

impl Network {
    /// Separates two zones: open connections that carry data meanwhile lose it
    /// and all that follows, and new connections get no answer.
    pub fn partition(&self, a: Zone, b: Zone) {
        self.partitions.write().insert(ordered_pair(a, b));
    }

    /// Ends the partition between two zones for new connections.
    pub fn heal(&self, a: Zone, b: Zone) {
        self.partitions.write().remove(&ordered_pair(a, b));
    }

    /// Returns whether two zones are separated.
    pub fn is_partitioned(&self, a: Zone, b: Zone) -> bool {
        self.partitions.read().contains(&ordered_pair(a, b))
    }
}

fn ordered_pair(a: Zone, b: Zone) -> (Zone, Zone) {
    (a.min(b), a.max(b))
}
