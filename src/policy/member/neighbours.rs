//! Choice of the neighbours that a daemon gossips with.

use super::View;
use super::ranks::rank_hash;
use crate::model::{CentreName, Instance};

/// Number of delegates per data centre.
const DELEGATE_COUNT: usize = 4;

/// Hash seeds that select the neighbours besides the watched one.
const NEAR_SEED: u64 = 1;
const FAR_SEED: u64 = 2;

/// The neighbours of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// The next daemon in the ring of the data centre, which this one monitors.
    pub watched: Option<Instance>,
    /// Another daemon of the own data centre.
    pub near: Option<Instance>,
    /// Daemons of other data centres.
    pub far: Vec<Instance>,
}

impl Neighbours {
    /// Returns all neighbours.
    pub fn all(&self) -> impl Iterator<Item = Instance> + '_ {
        let near = self.watched.iter().chain(&self.near);
        near.chain(&self.far).copied()
    }
}

/// Computes the neighbours of the daemon whose view this is.
///
/// The daemons of a data centre form a ring by rank, and each has one more
/// neighbour across it. Each also has one in the next data centre of a ring of
/// data centres and one in another, chosen by hash. Updates reach all daemons in
/// few hops, and neither the number of neighbours nor the cost of finding them
/// grows with the estate.
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

/// Returns the probability with which a daemon without a configuration reads it
/// from the store. When all daemons start at once, the expected number of
/// readers per data centre is then the same for any size.
pub fn read_probability(view: &View) -> f64 {
    let members = view.running().members(&view.own().centre).count();
    DELEGATE_COUNT as f64 / members.max(DELEGATE_COUNT) as f64
}

/// Returns whether the daemon whose view this is ranks among the first of its
/// data centre, so that it should use the platform's store for the others.
pub fn is_delegate(view: &View) -> bool {
    let own = view.own();
    let mut first = view.running().members(&own.centre).take(DELEGATE_COUNT);
    first.any(|instance| instance == own.instance)
}
