//! With whom a daemon keeps standing connections.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::View;
use crate::model::{CentreName, Instance};

/// Connections within the data centre besides the two of the ring.
const EXTRA: usize = 1;
/// Daemons of each data centre that read the configuration's row.
const POLLERS: usize = 2;

/// The standing connections of one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// The next daemon of the data centre, which this one watches.
    pub watched: Option<Instance>,
    /// Others of the own data centre.
    pub near: Vec<Instance>,
    /// Daemons of other data centres.
    pub far: Vec<Instance>,
}

impl Neighbours {
    /// Returns all of them.
    pub fn all(&self) -> impl Iterator<Item = Instance> + '_ {
        self.watched
            .iter()
            .chain(&self.near)
            .chain(&self.far)
            .copied()
    }
}

/// Computes the neighbours of the daemon whose view this is.
///
/// Within a data centre the daemons stand in a ring by address, with one more
/// connection across it; each has one to the next data centre of a ring of
/// data centres and one to another by hash. So news goes everywhere in few
/// hops, and the number of connections does not grow with the estate.
pub fn neighbours(view: &View) -> Neighbours {
    let own = view.own();
    let ring = view.running_in(&own.centre);
    let next = after(&ring, own.instance);
    let mut near = across(&ring, own.instance, EXTRA);
    near.retain(|instance| Some(*instance) != next);
    Neighbours {
        watched: next,
        near,
        far: far(view),
    }
}

fn after(ring: &[Instance], own: Instance) -> Option<Instance> {
    let place = ring.iter().position(|i| *i == own);
    let next = match place {
        Some(place) => ring.get(place + 1).or_else(|| ring.first()),
        None => ring.first(),
    };
    next.copied().filter(|instance| *instance != own)
}

fn across(ring: &[Instance], own: Instance, count: usize) -> Vec<Instance> {
    let mut others: Vec<(u64, Instance)> = ring
        .iter()
        .filter(|instance| **instance != own)
        .map(|instance| (pair_hash(own, *instance), *instance))
        .collect();
    others.sort_unstable();
    others.into_iter().take(count).map(|(_, i)| i).collect()
}

fn far(view: &View) -> Vec<Instance> {
    let own = view.own();
    let centres = view.centres();
    let others: Vec<&CentreName> = centres.iter().filter(|c| **c != own.centre).collect();
    if others.is_empty() {
        return Vec::new();
    }
    let next = others.iter().position(|c| **c > own.centre).unwrap_or(0);
    let hash = pair_hash(own.instance, own.instance);
    let other = (hash % others.len() as u64) as usize;
    let mut chosen = vec![next];
    if other != next {
        chosen.push(other);
    }
    chosen
        .into_iter()
        .filter_map(|place| {
            let members = view.running_in(others[place]);
            across(&members, own.instance, 1).first().copied()
        })
        .collect()
}

fn pair_hash(a: Instance, b: Instance) -> u64 {
    let text = format!("{}|{}", a.address.min(b.address), a.address.max(b.address));
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Tells whether the daemon whose view this is reads the configuration's row.
pub fn is_poller(view: &View) -> bool {
    let own = view.own();
    let mut ranked: Vec<(u64, Instance)> = view
        .running_in(&own.centre)
        .into_iter()
        .map(|i| (pair_hash(i, i), i))
        .collect();
    ranked.sort_unstable();
    ranked
        .iter()
        .take(POLLERS)
        .any(|(_, instance)| *instance == own.instance)
}
