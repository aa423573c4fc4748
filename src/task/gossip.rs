//! Exchange of news with the neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::peer::{Pool, exchange};
use crate::policy::member::{Link, LinkEvent, Neighbours, neighbours};
use crate::tables::Shared;

/// How often neighbours are asked when there is no news.
const TICK: Duration = Duration::from_secs(1);
/// The same as long as no neighbour has answered.
const FIRST_TICK: Duration = Duration::from_millis(100);
/// How long news is gathered before it is passed on.
const GATHER: Duration = Duration::from_millis(20);
/// How often stopped members are looked through.
const FORGET: Duration = Duration::from_secs(60);

/// Exchanges news with the neighbours, for ever.
pub async fn gossip(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut links: BTreeMap<SocketAddr, Link> = BTreeMap::new();
    let mut forget = Instant::now() + FORGET;
    loop {
        round(&shared, &pool, &mut links).await;
        let heard = shared.term.lock().has_heard();
        let tick = if heard { TICK } else { FIRST_TICK };
        let woken = tokio::time::timeout(tick, shared.news.notified()).await;
        if woken.is_ok() {
            tokio::time::sleep(GATHER).await;
        }
        pool.trim();
        if Instant::now() >= forget {
            shared.view.lock().forget(Instant::now());
            shared.suspects.forget();
            forget_connections(&shared, &pool);
            forget = Instant::now() + FORGET;
        }
    }
}

/// Drops the connections to daemons that are no members any more.
fn forget_connections(shared: &Shared, pool: &Pool) {
    let view = shared.view.lock();
    pool.retain(|address| view.at(*address).is_some());
}

async fn round(shared: &Shared, pool: &Pool, links: &mut BTreeMap<SocketAddr, Link>) {
    let neighbours = neighbours(&shared.view.lock());
    let standing = standing(shared, &neighbours);
    let now = Instant::now();
    links.retain(|address, _| standing.contains(address));
    for address in &standing {
        links.entry(*address).or_insert_with(|| Link::new(now));
    }
    let asks = std::mem::take(&mut *shared.asks.lock());
    let also = asks.difference(&standing).map(|a| (*a, Link::new(now)));
    let asked: Vec<(SocketAddr, Link)> = links.iter().map(|(a, l)| (*a, *l)).chain(also).collect();
    let exchanges = asked
        .iter()
        .map(|(address, link)| exchange(shared, pool, *address, link.told()));
    let results = join_all(exchanges).await;
    let now = Instant::now();
    for ((address, _), result) in asked.iter().zip(results) {
        let Some(link) = links.get_mut(address) else {
            continue;
        };
        match result {
            Ok(done) => {
                link.answered(now, done.told, done.same);
                // More is to be told than a message holds.
                if !done.same && done.told.ours < Some(shared.view.lock().change()) {
                    shared.wake();
                }
            }
            Err(_) => note_failure(shared, &neighbours, *address, link.failed(now)),
        }
    }
}

/// Returns the addresses of the neighbours; of those in the settings as long
/// as no others are known.
fn standing(shared: &Shared, neighbours: &Neighbours) -> BTreeSet<SocketAddr> {
    let mut standing: BTreeSet<SocketAddr> = neighbours.all().map(|i| i.address).collect();
    if standing.is_empty() {
        standing.extend(&shared.config.neighbours);
    }
    standing.remove(&shared.instance.address);
    standing
}

fn note_failure(shared: &Shared, neighbours: &Neighbours, address: SocketAddr, event: LinkEvent) {
    let watched = neighbours.watched.filter(|w| w.address == address);
    let (LinkEvent::Silent, Some(watched)) = (event, watched) else {
        return;
    };
    let called = shared.view.lock().call_silent(Instant::now(), watched);
    if called {
        let instance = watched.to_string();
        spdlog::warn!("member is silent", kv: { instance = instance.as_str() });
        shared.members_changed();
    }
}
