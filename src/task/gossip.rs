//! Exchange of news with the neighbours.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::peer::{ExchangeError, ExchangeOutcome, Pool, exchange};
use crate::policy::member::{Link, LinkEvent, neighbours};
use crate::tables::Shared;

/// How often neighbours are asked when there is no news.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The same as long as no neighbour has answered.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);
/// How long news is gathered before it is passed on.
const GOSSIP_DELAY: Duration = Duration::from_millis(20);
/// How often stopped members are looked through.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Exchanges news with the neighbours, for ever.
///
/// One that is silent holds up none of the others: half of an estate may have
/// lost power when a version of the configuration is to reach the other half.
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

/// Drops the connections to daemons that are no members any more.
fn drop_connections(shared: &Shared, pool: &Pool) {
    let view = shared.view.lock();
    pool.retain(|address| view.at(*address).is_some());
}

/// An exchange that has ended.
type EndedExchange = (SocketAddr, Result<ExchangeOutcome, ExchangeError>);

/// The links to neighbours, and the exchanges under way.
#[derive(Default)]
struct Exchanges {
    links: BTreeMap<SocketAddr, Link>,
    in_progress: BTreeSet<SocketAddr>,
    /// Neighbours to ask once more, since there was news while they were asked.
    repeat: BTreeSet<SocketAddr>,
    under_way: FuturesUnordered<BoxFuture<'static, EndedExchange>>,
}

impl Exchanges {
    /// Asks all neighbours, and daemons that know something worth asking for.
    fn start_all(&mut self, shared: &Arc<Shared>, pool: &Arc<Pool>) {
        let regular = neighbour_addresses(shared);
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

    /// Takes note of what an exchange came to.
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
                // More is to be told than a message holds.
                if !done.same_view && done.position.sent < Some(shared.view.lock().change()) {
                    shared.notify_gossip();
                }
            }
            Err(_) => record_failure(shared, address, link.record_failure(now)),
        }
    }
}

/// Returns the addresses of the neighbours; of those in the settings as long
/// as no others are known.
fn neighbour_addresses(shared: &Shared) -> BTreeSet<SocketAddr> {
    let neighbours = neighbours(&shared.view.lock());
    let mut regular: BTreeSet<SocketAddr> = neighbours.all().map(|i| i.address).collect();
    if regular.is_empty() {
        regular.extend(&shared.config.neighbours);
    }
    regular.remove(&shared.instance.address);
    regular
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
