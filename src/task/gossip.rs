//! Gossip: exchange of updates with the neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::model::Instance;
use crate::peer::{ExchangeError, ExchangeOutcome, Pool, exchange};
use crate::policy::member::{Link, LinkEvent, gossip_targets, neighbours};
use crate::tables::Shared;

/// How often updates are exchanged when nothing has changed.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval until a neighbour has answered.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// How long updates are collected before they are sent.
const GOSSIP_DELAY: Duration = Duration::from_millis(20);
/// How often stopped members, suspects and unused connections are cleaned up.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Exchanges updates with the neighbours, forever.
///
/// Exchanges run concurrently, so a silent neighbour doesn't delay the others:
/// half of an estate may have lost power when a version of the configuration has
/// to reach the other half.
pub async fn gossip(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut exchanges = Exchanges::default();
    let mut due = Instant::now();
    let mut cleanup = due + CLEANUP_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {
                exchanges.start_all(&shared, &pool);
                pool.trim();
                let answered = shared.role_tracker.lock().has_answer();
                due = Instant::now() + if answered { EXCHANGE_INTERVAL } else { FIRST_INTERVAL };
            }
            () = shared.gossip_notify.notified() => due = due.min(Instant::now() + GOSSIP_DELAY),
            Some(ended) = exchanges.under_way.next() => exchanges.finish(&shared, ended),
        }
        if Instant::now() >= cleanup {
            shared.view.lock().forget(Instant::now());
            shared.suspects.remove_expired();
            drop_connections(&shared, &pool);
            cleanup = Instant::now() + CLEANUP_INTERVAL;
        }
    }
}

/// Drops the connections to daemons that are no longer members.
fn drop_connections(shared: &Shared, pool: &Pool) {
    let view = shared.view.lock();
    pool.retain(|address| view.at(*address).is_some());
}

/// The result of an exchange with the daemon at an address.
type EndedExchange = (SocketAddr, Result<ExchangeOutcome, ExchangeError>);

/// The links to neighbours, and the exchanges in progress.
#[derive(Default)]
struct Exchanges {
    links: BTreeMap<SocketAddr, Link>,
    in_progress: BTreeSet<SocketAddr>,
    /// Daemons to query again, since there was an update during their exchange.
    repeat: BTreeSet<SocketAddr>,
    under_way: FuturesUnordered<BoxFuture<'static, EndedExchange>>,
}

impl Exchanges {
    /// Starts exchanges with all neighbours, and with daemons that have newer data.
    fn start_all(&mut self, shared: &Arc<Shared>, pool: &Arc<Pool>) {
        let regular = self.regular_addresses(shared);
        self.links.retain(|address, _| regular.contains(address));
        let pending = std::mem::take(&mut *shared.pending_peers.lock());
        for address in regular.union(&pending) {
            if !self.in_progress.insert(*address) {
                self.repeat.insert(*address);
                continue;
            }
            let link = Link::new(Instant::now());
            let position = match regular.contains(address) {
                true => self.links.entry(*address).or_insert(link).position(),
                false => link.position(),
            };
            let (shared, pool, address) = (Arc::clone(shared), Arc::clone(pool), *address);
            self.under_way.push(Box::pin(async move {
                (address, exchange(&shared, &pool, address, position).await)
            }));
        }
    }

    /// Records the result of an exchange.
    fn finish(&mut self, shared: &Shared, (address, result): EndedExchange) {
        self.in_progress.remove(&address);
        if self.repeat.remove(&address) && result.is_ok() {
            shared.query_later(address);
        }
        let Some(link) = self.links.get_mut(&address) else {
            return;
        };
        let now = Instant::now();
        match result {
            Ok(done) => {
                link.record_answer(now, done.position, done.same_view);
                // The update did not fit into one message.
                if !done.same_view && done.position.sent < Some(shared.view.lock().change()) {
                    shared.notify_gossip();
                }
            }
            Err(_) => {
                if !link.is_failing() {
                    // Others take its place until it answers.
                    shared.notify_gossip();
                }
                record_failure(shared, address, link.record_failure(now));
            }
        }
    }

    /// Returns the addresses of the daemons to gossip with, or of those in the
    /// settings while no others are known.
    fn regular_addresses(&self, shared: &Shared) -> BTreeSet<SocketAddr> {
        let is_failing = |other: Instance| {
            let link = self.links.get(&other.address);
            link.is_some_and(Link::is_failing)
        };
        let targets = gossip_targets(&shared.view.lock(), is_failing);
        let mut regular: BTreeSet<SocketAddr> = targets.iter().map(|i| i.address).collect();
        if regular.is_empty() {
            regular.extend(&shared.config.neighbours);
        }
        regular.remove(&shared.instance.address);
        regular
    }
}

fn record_failure(shared: &Shared, address: SocketAddr, event: LinkEvent) {
    if event != LinkEvent::Silent {
        return;
    }
    let watched = neighbours(&shared.view.lock()).watched;
    let Some(watched) = watched.filter(|watched| watched.address == address) else {
        return;
    };
    let marked = shared.view.lock().mark_silent(Instant::now(), watched);
    if marked {
        let instance = watched.to_string();
        spdlog::warn!("member is silent", kv: { instance = instance.as_str() });
        shared.members_changed();
    }
}
