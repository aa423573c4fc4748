//! Choice of the neighbours that a daemon gossips with.

use std::collections::BTreeSet;

use super::View;
use super::ranks::rank_hash;
use crate::model::{CentreName, Instance};

/// Number of delegates per data centre.
const DELEGATE_COUNT: usize = 4;

/// Hash seeds that select the neighbours besides the watched one.
const NEAR_SEED: u64 = 1;
const FAR_SEED: u64 = 2;

/// Number of daemons gossiped with beyond one that does not answer.
const DETOUR_COUNT: usize = 3;
/// Most daemons of the own and of another data centre that are gossiped with in
/// one direction while they do not answer. Another data centre may be cut off as a
/// whole, and the own one passes on what it is told by others.
const MAX_OWN_TARGETS: usize = 16;
const MAX_FAR_TARGETS: usize = 4;

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

/// Returns the daemons that the one whose view this is gossips with: its
/// neighbours, and beyond each that does not answer the next ones of its ring.
///
/// After the loss of many daemons the view still names them for some seconds.
/// Without the ones beyond, those that run do not find each other meanwhile.
pub fn gossip_targets(view: &View, is_failing: impl Fn(Instance) -> bool) -> BTreeSet<Instance> {
    let own = view.own();
    let instance = own.instance;
    let mut targets = BTreeSet::new();
    let mut add = |centre: &CentreName, hash: u64, limit: usize| {
        let ring = view.running().ring_from(centre, hash);
        let ring = ring.filter(|other| *other != instance).take(limit);
        targets.extend(take_answering(ring, &is_failing));
    };
    add(&own.centre, rank_hash(instance), MAX_OWN_TARGETS);
    add(&own.centre, instance.hash(NEAR_SEED), MAX_OWN_TARGETS);
    for centre in far_centres(view) {
        add(centre, instance.hash(FAR_SEED), MAX_FAR_TARGETS);
    }
    targets.extend(neighbours(view).all());
    targets
}

/// Takes the first daemon of a ring; if it is failing, also the next ones until
/// some are not.
fn take_answering(
    ring: impl Iterator<Item = Instance>,
    is_failing: impl Fn(Instance) -> bool,
) -> Vec<Instance> {
    let mut taken = Vec::new();
    let mut answering = 0;
    for other in ring {
        taken.push(other);
        answering += usize::from(!is_failing(other));
        let is_first = answering == taken.len();
        if is_first || answering == DETOUR_COUNT {
            break;
        }
    }
    taken
}

fn far(view: &View) -> Vec<Instance> {
    let hash = view.own().instance.hash(FAR_SEED);
    let first = |centre| view.running().ring_from(centre, hash).next();
    far_centres(view).into_iter().filter_map(first).collect()
}

/// Returns the data centres of the neighbours outside the own one.
fn far_centres(view: &View) -> Vec<&CentreName> {
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
    chosen.into_iter().map(|place| others[place]).collect()
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

/// Returns the index of this daemon among the delegates of all data centres, and their
/// number; `None` if it is not one of them. The first ones are of different data centres,
/// since one may be cut off as a whole.
pub fn delegate_position(view: &View) -> Option<(usize, usize)> {
    let running = view.running();
    let ranked = running.centres().flat_map(|centre| {
        let delegates = running.members(centre).take(DELEGATE_COUNT);
        delegates.enumerate()
    });
    let mut delegates: Vec<(usize, Instance)> = ranked.collect();
    delegates.sort_by_key(|(rank, _)| *rank);
    let own = view.own().instance;
    let index = delegates
        .iter()
        .position(|(_, instance)| *instance == own)?;
    Some((index, delegates.len()))
}
