//! Subset of a service's backend servers that one entry connects to.

use crate::model::{Connections, Instance};

/// Fewest backend servers of a data centre in a subset, for redundancy.
const MIN_SUBSET_SIZE: usize = 4;
/// Most backend servers of a data centre in a subset.
const MAX_SUBSET_SIZE: usize = 20;
/// Share of a server's connections that daemons may use; the rest is reserved for
/// reconnections and uneven hashing.
const CONNECTION_SHARE: f64 = 0.5;

/// Computes how many of `servers` each of `entries` may connect to.
///
/// With subsets of size `k`, a server has `entries * k / servers` connections on
/// average; `k` is chosen to keep this within half of its limit.
pub fn subset_size(entries: usize, servers: usize, limit: Connections) -> usize {
    if entries == 0 || servers == 0 {
        return servers;
    }
    let budget = f64::from(limit.get()) * CONNECTION_SHARE;
    let allowed = (budget * servers as f64 / entries as f64) as usize;
    allowed
        .clamp(1, MAX_SUBSET_SIZE.max(MIN_SUBSET_SIZE))
        .min(servers)
}

/// Chooses `size` of `servers` for `entry` by rendezvous hashing.
///
/// The choice is deterministic, and a server that comes or goes changes at most
/// one member of a subset.
pub fn subset(entry: u64, servers: &[Instance], size: usize) -> Vec<Instance> {
    let mut ranked: Vec<(u64, Instance)> = servers
        .iter()
        .map(|server| (server.hash(entry), *server))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(size);
    ranked.into_iter().map(|(_, server)| server).collect()
}
