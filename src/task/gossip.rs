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
const TICK: Duration = Duration::from_secs(1);
/// The same as long as no neighbour has answered.
const FIRST_TICK: Duration = Duration::from_millis(100);
/// How long news is gathered before it is passed on.
const GATHER: Duration = Duration::from_millis(20);
/// How often stopped members are looked through.
const FORGET: Duration = Duration::from_secs(60);

/// Exchanges news with the neighbours, for ever.
///
/// One that is silent holds up none of the others: half of an estate may have
/// lost power when a version of the configuration is to reach the other half.
pub async fn gossip(shared: Arc<Shared>, pool: Arc<Pool>) {
    let mut talks = Talks::default();
    let mut due = Instant::now();
    let mut forget = due + FORGET;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(due) => {
                talks.begin(&shared, &pool);
                pool.trim();
                let heard = shared.term.lock().has_answer();
                due = Instant::now() + if heard { TICK } else { FIRST_TICK };
            }
            () = shared.news.notified() => due = due.min(Instant::now() + GATHER),
            Some(ended) = talks.under_way.next() => talks.end(&shared, ended),
        }
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

/// An exchange that has ended.
type Ended = (SocketAddr, Result<ExchangeOutcome, ExchangeError>);

/// The links to neighbours, and the exchanges under way.
#[derive(Default)]
struct Talks {
    links: BTreeMap<SocketAddr, Link>,
    busy: BTreeSet<SocketAddr>,
    /// Neighbours to ask once more, since there was news while they were asked.
    again: BTreeSet<SocketAddr>,
    under_way: FuturesUnordered<BoxFuture<'static, Ended>>,
}

impl Talks {
    /// Asks all neighbours, and daemons that know something worth asking for.
    fn begin(&mut self, shared: &Arc<Shared>, pool: &Arc<Pool>) {
        let standing = standing(shared);
        self.links.retain(|address, _| standing.contains(address));
        let asks = std::mem::take(&mut *shared.asks.lock());
        for address in standing.union(&asks) {
            if !self.busy.insert(*address) {
                self.again.insert(*address);
                continue;
            }
            let link = Link::new(Instant::now());
            let told = match standing.contains(address) {
                true => self.links.entry(*address).or_insert(link).position(),
                false => link.position(),
            };
            let (shared, pool, address) = (Arc::clone(shared), Arc::clone(pool), *address);
            self.under_way.push(Box::pin(async move {
                (address, exchange(&shared, &pool, address, told).await)
            }));
        }
    }

    /// Takes note of what an exchange came to.
    fn end(&mut self, shared: &Shared, (address, result): Ended) {
        self.busy.remove(&address);
        if self.again.remove(&address) && result.is_ok() {
            shared.ask_later(address);
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
                    shared.wake();
                }
            }
            Err(_) => note_failure(shared, address, link.record_failure(now)),
        }
    }
}

/// Returns the addresses of the neighbours; of those in the settings as long
/// as no others are known.
fn standing(shared: &Shared) -> BTreeSet<SocketAddr> {
    let neighbours = neighbours(&shared.view.lock());
    let mut standing: BTreeSet<SocketAddr> = neighbours.all().map(|i| i.address).collect();
    if standing.is_empty() {
        standing.extend(&shared.config.neighbours);
    }
    standing.remove(&shared.instance.address);
    standing
}

fn note_failure(shared: &Shared, address: SocketAddr, event: LinkEvent) {
    if event != LinkEvent::Silent {
        return;
    }
    let watched = neighbours(&shared.view.lock()).watched;
    let Some(watched) = watched.filter(|watched| watched.address == address) else {
        return;
    };
    let called = shared.view.lock().mark_silent(Instant::now(), watched);
    if called {
        let instance = watched.to_string();
        spdlog::warn!("member is silent", kv: { instance = instance.as_str() });
        shared.members_changed();
    }
}
