//! With whom a daemon keeps standing connections.

use super::View;
use super::ranks::rank_hash;
use crate::model::{CentreName, Instance};

/// Daemons of each data centre that use the platform's store for the others.
const DELEGATES: usize = 4;

/// Seeds of the points on the ring across which further connections go.
const NEAR_SEED: u64 = 1;
const FAR_SEED: u64 = 2;

/// The standing connections of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// The next daemon of the data centre, which this one watches.
    pub watched: Option<Instance>,
    /// Another of the own data centre.
    pub near: Option<Instance>,
    /// Daemons of other data centres.
    pub far: Vec<Instance>,
}

impl Neighbours {
    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = Instance> + '_ {
        let near = self.watched.iter().chain(&self.near);
        near.chain(&self.far).copied()
    }
}

/// Computes the neighbours of the daemon whose view this is.
///
/// Within a data centre the daemons stand in a ring by rank, with one more
/// connection across it; each has one to the next data centre of a ring of
/// data centres and one to another by hash. So news goes everywhere in few
/// hops, and neither the number of connections nor the work to find them grows
/// with the estate.
pub fn neighbours(view: &View) -> Neighbours {
    let own = view.own();
    let instance = own.instance;
    let others = |hash| {
        view.running()
            .ring_from(&own.centre, hash)
            .filter(|i| *i != instance)
    };
    let watched = others(rank_hash(instance)).next();
    let near = others(instance.hash(NEAR_SEED)).find(|i| Some(*i) != watched);
    Neighbours {
        watched,
        near,
        far: far(view),
    }
}

fn far(view: &View) -> Vec<Instance> {
    let own = view.own();
    let hash = own.instance.hash(FAR_SEED);
    let centres = view.running().centres();
    let others: Vec<&CentreName> = centres.filter(|c| **c != own.centre).collect();
    if others.is_empty() {
        return Vec::new();
    }
    let next = others.iter().position(|c| **c > own.centre).unwrap_or(0);
    let other = (hash % others.len() as u64) as usize;
    let mut chosen = vec![next];
    if other != next {
        chosen.push(other);
    }
    chosen
        .into_iter()
        .filter_map(|place| view.running().ring_from(others[place], hash).next())
        .collect()
}

/// Returns the chance with which a daemon that has no configuration reads it from
/// the store, so that in a start of all as many of each data centre read it at a
/// time whatever its size.
pub fn read_probability(view: &View) -> f64 {
    let members = view.running().members(&view.own().centre).count();
    DELEGATES as f64 / members.max(DELEGATES) as f64
}

/// Tells whether the daemon whose view this is comes first in its data centre,
/// so that it uses the platform's store for the others.
pub fn is_delegate(view: &View) -> bool {
    let own = view.own();
    let mut first = view.running().members(&own.centre).take(DELEGATES);
    first.any(|instance| instance == own.instance)
}
