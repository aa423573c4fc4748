//! Running members of each data centre in an order that all daemons agree on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;

use crate::model::{CentreName, Instance};

/// The place of a member among those of its data centre: a hash of its address.
type Rank = (u64, SocketAddr);

/// The running members by data centre and rank.
///
/// A member that comes or goes changes one entry, and whoever stands next to a
/// place is found without a look at the others.
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

    /// Returns the data centres that have running members, in order.
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

    /// Returns the members of a data centre in order of rank, from the first
    /// whose hash lies beyond `hash` on, once round.
    pub fn ring_from(&self, centre: &CentreName, hash: u64) -> impl Iterator<Item = Instance> + '_ {
        let members = self.centres.get(centre);
        members.into_iter().flat_map(move |members| {
            let beyond = (Bound::Excluded((hash, last_address())), Bound::Unbounded);
            let before = ..=(hash, last_address());
            let round = members.range(beyond).chain(members.range(before));
            round.map(|(_, instance)| *instance)
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

/// Returns an address that no other comes after.
fn last_address() -> SocketAddr {
    SocketAddr::new(std::net::Ipv6Addr::from(u128::MAX).into(), u16::MAX)
}
