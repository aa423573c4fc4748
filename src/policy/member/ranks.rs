//! Running members of each data centre, in an order that all daemons agree on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use crate::model::{CentreName, Instance};

/// The sort key of a member within its data centre: a hash and its address.
type Rank = (u64, SocketAddr);

/// The running members by data centre and rank.
///
/// A member that joins or leaves changes one entry, and the members next to a
/// given rank are found without scanning the others.
#[derive(Clone, Debug, Default)]
pub struct RankedMembers {
    centres: BTreeMap<CentreName, BTreeMap<Rank, Instance>>,
}

impl RankedMembers {
    pub(super) fn insert(&mut self, centre: &CentreName, instance: Instance) {
        let members = match self.centres.get_mut(centre) {
            Some(members) => members,
            None => self.centres.entry(centre.clone()).or_default(),
        };
        members.insert(rank(instance), instance);
    }

    pub(super) fn remove(&mut self, centre: &CentreName, instance: Instance) {
        if let Some(members) = self.centres.get_mut(centre) {
            members.remove(&rank(instance));
            if members.is_empty() {
                self.centres.remove(centre);
            }
        }
    }

    /// Returns the data centres that have running members, sorted by name.
    pub fn centres(&self) -> impl Iterator<Item = &CentreName> {
        self.centres.keys()
    }

    /// Returns the members of a data centre, in order of rank.
    pub fn members(&self, centre: &CentreName) -> impl Iterator<Item = Instance> + '_ {
        let members = self.centres.get(centre);
        members
            .into_iter()
            .flat_map(|members| members.values().copied())
    }

    /// Returns the members of a data centre as a ring in order of rank, starting
    /// with the first whose hash is greater than `hash`.
    pub fn ring_from(&self, centre: &CentreName, hash: u64) -> impl Iterator<Item = Instance> + '_ {
        let members = self.centres.get(centre);
        members.into_iter().flat_map(move |members| {
            let beyond = (Bound::Excluded((hash, last_address())), Bound::Unbounded);
            let before = ..=(hash, last_address());
            let ring = members.range(beyond).chain(members.range(before));
            ring.map(|(_, instance)| *instance)
        })
    }
}

/// Returns the hash by which a member is ranked.
pub(super) fn rank_hash(instance: Instance) -> u64 {
    instance.hash(0)
}

fn rank(instance: Instance) -> Rank {
    (rank_hash(instance), instance.address)
}

/// Returns the address that sorts last.
fn last_address() -> SocketAddr {
    SocketAddr::new(std::net::Ipv6Addr::from(u128::MAX).into(), u16::MAX)
}
