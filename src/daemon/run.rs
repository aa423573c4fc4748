//! Start and stop of a daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::call::{OwnProtocol, Protocol};
use crate::config::Config;
use crate::entry::{Entry, serve_callers};
use crate::error::Error;
use crate::guard::Guard;
use crate::metrics::{Gauges, Group, Metrics, metrics_page, workspace_page};
use crate::model::{Instance, StartStamp};
use crate::operator::{OperatorService, serve_operators};
use crate::peer::{PeerService, Pool, serve_peers};
use crate::platform::{
    PlatformProtocol, RowStore, serve_announcements, serve_readiness, watch_configuration,
};
use crate::policy::member::{Incarnation, Member, MemberState, RoleTracker, StoreRole, View};
use crate::policy::rate::RateTolerance;
use crate::policy::resource::{ConnectionGroup, ResourceLimits};
use crate::store::{Feed, HttpPlatform, Platform};
use crate::tables::{
    CallJournal, CallLogLimiter, CurrentConfiguration, OwnershipTable, ParentCalls, Readiness,
    RouteSplits, ServerNotices, Shared, SuspectTable, TargetTables, WorkspaceRates, unix_ms,
};
use crate::task::{
    StopParts, gossip, keep_member_row, keep_ownership, keep_store_role, keep_suspect_rows,
    latest_end, log_load, poll_configuration, refresh_targets, report_demand, stop, watch_lease,
};
use crate::web::{
    HttpListener, ListenOptions, Resources, ThreadedServer, caller_text, listen_within,
};

/// Timeout of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the random delay after which a starting daemon uses the platform's
/// store, so that daemons that start together do not all use it at once.
const MAX_STORE_DELAY: Duration = Duration::from_millis(500);

/// How long the connections of other daemons may take to close at a stop.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A running daemon.
pub struct Daemon {
    parts: StopParts,
    tasks: JoinSet<()>,
    callers: HttpListener,
    operators: ThreadedServer,
    platform_listeners: Vec<HttpListener>,
    stop_peers: oneshot::Sender<()>,
    peers_task: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings cannot be bound.
    pub async fn start(config: Config) -> Result<Self, Error> {
        if config.hosting.is_none() {
            let store = HttpPlatform::new(config.platform, PLATFORM_TIMEOUT);
            return Self::start_on(config, Arc::new(store)).await;
        }
        let store = Arc::new(RowStore::new(config.platform, PLATFORM_TIMEOUT));
        let feed: Arc<dyn Feed> = Arc::clone(&store) as _;
        Self::start_with(config, store, Arc::new(PlatformProtocol), Some(feed)).await
    }

    /// Starts a daemon that uses the given store.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings cannot be bound.
    pub async fn start_on(config: Config, platform: Arc<dyn Platform>) -> Result<Self, Error> {
        Self::start_with(config, platform, Arc::new(OwnProtocol), None).await
    }

    async fn start_with(
        config: Config,
        platform: Arc<dyn Platform>,
        protocol: Arc<dyn Protocol>,
        feed: Option<Arc<dyn Feed>>,
    ) -> Result<Self, Error> {
        let handle = tokio::runtime::Handle::current();
        let shared = Arc::new(build_shared(config, platform, protocol)?);
        let guard = Guard::new(Arc::clone(&shared), handle.clone());
        let pool = Arc::new(Pool::new(
            handle,
            shared.config.listen.peers.ip(),
            shared.resources.clone(),
        ));
        let entry = Entry::new(Arc::clone(&shared), Arc::clone(&guard), Arc::clone(&pool));
        let (stop_peers, stopped) = oneshot::channel();
        let service = PeerService::new(Arc::clone(&shared), Arc::clone(&guard));
        let peers = service.activity().clone();
        let peers_task = serve_peers(shared.config.listen.peers, service, stopped).await?;
        let callers = serve_callers(Arc::clone(&entry)).await?;
        let operators = serve_operators(OperatorService {
            shared: Arc::clone(&shared),
            guard: Arc::clone(&guard),
            entry: Arc::clone(&entry),
            pool: Arc::clone(&pool),
        })?;
        let mut platform_listeners = Vec::new();
        if let Some(hosting) = shared.config.hosting {
            let announcements = hosting.announcements;
            platform_listeners.push(serve_announcements(announcements, Arc::clone(&guard)).await?);
            platform_listeners.push(serve_readiness(hosting.readiness, Arc::clone(&shared)).await?);
            if let Some(address) = hosting.metrics {
                let (shared, guard) = (Arc::clone(&shared), Arc::clone(&guard));
                platform_listeners.push(serve_metrics(address, shared, guard).await?);
            }
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip(Arc::clone(&shared), Arc::clone(&pool)));
        tasks.spawn(refresh_targets(Arc::clone(&shared)));
        tasks.spawn(keep_store_role(Arc::clone(&shared)));
        tasks.spawn(watch_lease(Arc::clone(&shared), Arc::clone(&guard)));
        tasks.spawn(log_load(Arc::clone(&shared), Arc::clone(&guard)));
        tasks.spawn(keep_member_row(Arc::clone(&shared)));
        tasks.spawn(keep_suspect_rows(Arc::clone(&shared)));
        tasks.spawn(report_demand(Arc::clone(&shared), Arc::clone(&pool)));
        match feed {
            Some(feed) => {
                let (shared, guard) = (Arc::clone(&shared), Arc::clone(&guard));
                tasks.spawn(watch_configuration(shared, guard, feed));
            }
            None => {
                tasks.spawn(poll_configuration(Arc::clone(&shared), Arc::clone(&guard)));
                tasks.spawn(keep_ownership(Arc::clone(&shared)));
            }
        }
        let instance = shared.instance.to_string();
        let service = shared.config.service.as_str();
        let vm = shared.config.vm;
        spdlog::info!("daemon runs", kv: {
            instance = instance.as_str(),
            service,
            memory = vm.memory.to_string().as_str(),
            descriptors = vm.descriptors
        });
        Ok(Self {
            parts: StopParts {
                shared,
                entry,
                guard,
                pool,
                connections: callers.connections().clone(),
                peers,
            },
            tasks,
            callers,
            operators,
            platform_listeners,
            stop_peers,
            peers_task,
        })
    }

    /// Returns the shared tables.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.parts.shared
    }

    /// Returns the guard.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.parts.guard
    }

    /// Stops as planned; returns whether all calls ended.
    ///
    /// A hosted daemon stops before its grace is over, whatever it still waits for.
    pub async fn stop(mut self) -> bool {
        let begin = Instant::now();
        let latest = latest_end(&self.parts.shared, begin);
        self.callers.disable_keep_alive();
        let drained = within(latest, stop(&self.parts, begin)).await;
        if drained.is_none() {
            spdlog::warn!("stop cut short at the end of the grace");
        }
        let drained = drained.unwrap_or(false);
        self.parts.guard.count_late_answers();
        self.platform_listeners.clear();
        self.tasks.abort_all();
        let _ = self.stop_peers.send(());
        if drained {
            // Streams end only when the other daemon has received their last frames.
            let closing = tokio::time::timeout(PEER_CLOSE_TIMEOUT, self.peers_task);
            let _ = within(latest, closing).await;
        }
        let mut operators = self.operators;
        let stopped = tokio::task::spawn_blocking(move || operators.stop());
        let _ = within(latest, stopped).await;
        drained
    }

    /// Stops immediately, as a crash would.
    pub fn kill(mut self) {
        self.tasks.abort_all();
    }
}

/// Waits for a future, until `latest` if it is limited; returns `None` after that.
async fn within<T>(latest: Option<Instant>, waiting: impl Future<Output = T>) -> Option<T> {
    match latest {
        Some(latest) => tokio::time::timeout_at(latest, waiting).await.ok(),
        None => Some(waiting.await),
    }
}

/// Serves the metrics as text.
async fn serve_metrics(
    address: SocketAddr,
    shared: Arc<Shared>,
    guard: Arc<Guard>,
) -> Result<HttpListener, Error> {
    let options = ListenOptions::new(shared.resources.clone(), ConnectionGroup::Platform);
    let handler = move |_, _| {
        let gauges = Gauges {
            load: guard.gate().load(),
            rate: guard.gate().rate(),
            version: shared.current.version().get(),
        };
        let mut text = metrics_page(&shared.metrics.rows(Group::Class), gauges);
        text += &workspace_page(&guard.usages());
        text += &shared.metrics.loss_page();
        async move { caller_text(StatusCode::OK, "text/plain; version=0.0.4", text) }
    };
    listen_within(address, options, handler).await
}

/// Returns how long a daemon waits before it uses the platform's store. One with
/// configured neighbours gives them time to start, too.
fn store_delay(config: &Config) -> Duration {
    let spread = MAX_STORE_DELAY.mul_f64(rand::rng().random());
    if config.neighbours.is_empty() {
        spread
    } else {
        MAX_STORE_DELAY + spread
    }
}

fn build_shared(
    config: Config,
    platform: Arc<dyn Platform>,
    protocol: Arc<dyn Protocol>,
) -> Result<Shared, Error> {
    let start = StartStamp::new(unix_ms(), rand::random());
    let instance = Instance::new(config.listen.advertised, start);
    let own = Member {
        instance,
        centre: config.centre.clone(),
        service: config.service.clone(),
        incarnation: Incarnation(1),
        state: MemberState::Waiting,
        slots: None,
    };
    let allowed = config.hosting.map(|hosting| hosting.retry_allowance);
    let store_delay = store_delay(&config);
    Ok(Shared {
        instance,
        current: CurrentConfiguration::default(),
        view: Mutex::new(View::new(Instant::now(), own)),
        ownership: OwnershipTable::default(),
        targets: TargetTables::new(config.centre.clone(), allowed, config.balance),
        route_splits: RouteSplits::default(),
        protocol,
        parent_calls: Arc::new(ParentCalls::default()),
        suspects: SuspectTable::default(),
        notices: ServerNotices::default(),
        rates: WorkspaceRates::new(
            config
                .hosting
                .map_or_else(RateTolerance::default, |hosting| hosting.rate_tolerance),
        ),
        journal: CallJournal::default(),
        log_limiter: CallLogLimiter::default(),
        resources: Resources::new(ResourceLimits::new(
            config.vm.memory.get(),
            config.vm.descriptors,
        )),
        metrics: Metrics::new(config.metrics)?,
        platform,
        lease_notify: Notify::new(),
        gossip_notify: Notify::new(),
        quarantine_notify: Notify::new(),
        refresh_notify: Notify::new(),
        store_role: watch::Sender::new(StoreRole::None),
        role_tracker: Mutex::new(RoleTracker::new(Instant::now(), store_delay)),
        member_row: Mutex::default(),
        readiness: Readiness::default(),
        pending_peers: Mutex::new(BTreeSet::new()),
        config,
    })
}
