//! All shared tables of one daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::{
    CallJournal, CallLogLimiter, CurrentConfiguration, OwnershipTable, ParentCalls, Readiness,
    RouteSplits, ServerNotices, SuspectTable, TargetTables, WorkspaceRates,
};
use crate::call::Protocol;
use crate::config::Config;
use crate::metrics::Metrics;
use crate::model::{CrashId, Fingerprint, Instance, MintTime, Version, WorkspaceName};
use crate::policy::crash::Suspect;
use crate::policy::member::{RoleTracker, StoreRole, View};
use crate::policy::rate::{CreditGrant, CreditQuery, HashRing};
use crate::store::{Platform, Revision};

/// The tables that entry, guard, peers and operators' interface share.
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// This run of the daemon.
    pub instance: Instance,
    /// The configuration in force.
    pub current: CurrentConfiguration,
    /// The members of the estate.
    pub view: Mutex<View>,
    /// Home rows.
    pub ownership: OwnershipTable,
    /// Targets by service.
    pub targets: TargetTables,
    /// Divisions of routes among services.
    pub route_splits: RouteSplits,
    /// The headers spoken with callers and with the backend server.
    pub protocol: Arc<dyn Protocol>,
    /// Calls that the backend server works on.
    pub parent_calls: Arc<ParentCalls>,
    /// Requests that were under way at crashes.
    pub suspects: SuspectTable,
    /// What backend servers have said of themselves.
    pub notices: ServerNotices,
    /// Credit of workspaces.
    pub rates: WorkspaceRates,
    /// Recent decisions.
    pub journal: CallJournal,
    /// Leave for log lines on single calls.
    pub log_limiter: CallLogLimiter,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Wakes the task that tells the estate of the backend server.
    pub lease_notify: Notify,
    /// Wakes the task that passes news on to neighbours.
    pub gossip_notify: Notify,
    /// Wakes the task that keeps requests that are held.
    pub quarantine_notify: Notify,
    /// Wakes the task that fills the tables of targets anew.
    pub refresh_notify: Notify,
    /// For whom this daemon uses the platform's store.
    pub store_role: watch::Sender<StoreRole>,
    /// What decides on that.
    pub role_tracker: Mutex<RoleTracker>,
    /// The revision of the own row in the table service, while it stands there.
    pub member_row: Mutex<Option<Revision>>,
    /// Whether the daemon takes callers.
    pub readiness: Readiness,
    /// Daemons that know something worth asking for.
    pub pending_peers: Mutex<BTreeSet<SocketAddr>>,
}

impl Shared {
    /// Fills the tables of targets anew after the view or the configuration
    /// changed.
    pub fn refresh_targets(&self) {
        if let Some(in_force) = self.current.get() {
            let view = self.view.lock();
            self.targets.update(&in_force.estate, &view);
            if in_force.estate.workspaces.is_some() {
                // Since when the ring is as it is tells what a new bucket may lend.
                self.rates.ring(&view);
            }
        }
    }

    /// Has the tables of targets filled anew after members changed.
    ///
    /// In a start of all a thousand members become known within a second. Each
    /// costs a look at all, so changes that come close together are taken as one.
    pub fn members_changed(&self) {
        self.refresh_notify.notify_one();
        self.notify_gossip();
    }

    /// Returns the ring of members by which workspaces are coordinated.
    pub fn ring(&self) -> Arc<HashRing> {
        let view = self.view.lock();
        self.rates.ring(&view)
    }

    /// Lends credit of a workspace to the daemon at `from`; nothing where no
    /// limit of it is known.
    pub fn grant_credit(
        &self,
        workspace: &WorkspaceName,
        from: SocketAddr,
        query: CreditQuery,
    ) -> Option<CreditGrant> {
        let in_force = self.current.get()?;
        let workspaces = in_force.estate.workspaces.as_ref()?;
        let limit = workspaces.get(workspace)?.limit?;
        Some(self.rates.grant(workspace, limit, from, query))
    }

    /// Tells whether callers should be sent here: a configuration is in force,
    /// the other daemons are known, and no stop is planned.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready() && self.current.version() > Version::NONE
    }

    /// Takes note that a request was under way at a crash of the own server,
    /// and passes it on.
    pub fn record_own_crash(&self, request: Option<Fingerprint>, crash: CrashId) {
        if request.is_some_and(|request| self.suspects.record_own_crash(request, crash)) {
            self.suspects_changed();
        }
    }

    /// Takes note that a request was under way at a crash that a guard told of,
    /// and passes it on.
    pub fn record_crash(&self, request: Option<Fingerprint>, crash: CrashId) {
        if request.is_some_and(|request| self.suspects.record_crash(request, crash)) {
            self.suspects_changed();
        }
    }

    fn suspects_changed(&self) {
        self.notify_gossip();
        if self.suspects.has_unsaved() {
            self.quarantine_notify.notify_one();
        }
    }

    /// Takes note that a server answered a request, and passes it on where it
    /// was suspected.
    pub fn record_answer(&self, request: Option<Fingerprint>) {
        if request.is_some_and(|request| self.suspects.record_answer(request)) {
            self.notify_gossip();
        }
    }

    /// Takes what another daemon knows of suspects, and passes it on.
    pub fn merge_suspects(&self, news: &[Suspect]) {
        if self.suspects.merge(news) {
            self.suspects_changed();
        }
    }

    /// Tells the task that news is there to pass on.
    pub fn notify_gossip(&self) {
        self.gossip_notify.notify_one();
    }

    /// Notes that the daemon at `address` knows something worth asking for.
    pub fn query_later(&self, address: SocketAddr) {
        self.pending_peers.lock().insert(address);
        self.notify_gossip();
    }
}

/// Returns the time of the system clock in milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns the time of the system clock as a mint time.
pub fn mint_now() -> MintTime {
    MintTime::from_millis(unix_ms())
}
