//! Which data centres are cut off from each other.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};

use parking_lot::RwLock;

/// A data centre of the emulated network, told by the IP numbers in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(u8);

impl Zone {
    /// Makes the zone of a number from 1 up.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the loopback address that all in the zone use.
    pub const fn ip(self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, self.0, 1))
    }

    /// Returns the zone of an address.
    pub fn from_ip(ip: IpAddr) -> Self {
        match ip {
            IpAddr::V4(ip) => Self(ip.octets()[2]),
            IpAddr::V6(_) => Self(0),
        }
    }
}

/// The partitions in force.
#[derive(Debug, Default)]
pub struct Network {
    partitions: RwLock<BTreeSet<(Zone, Zone)>>,
}

impl Network {
    /// Cuts two zones off from each other; open connections go silent for
    /// good, and new ones get no answer.
    pub fn partition(&self, a: Zone, b: Zone) {
        self.partitions.write().insert(ordered_pair(a, b));
    }

    /// Joins two zones again, for new connections.
    pub fn heal(&self, a: Zone, b: Zone) {
        self.partitions.write().remove(&ordered_pair(a, b));
    }

    /// Tells whether two zones are cut off from each other.
    pub fn is_partitioned(&self, a: Zone, b: Zone) -> bool {
        self.partitions.read().contains(&ordered_pair(a, b))
    }
}

fn ordered_pair(a: Zone, b: Zone) -> (Zone, Zone) {
    (a.min(b), a.max(b))
}
