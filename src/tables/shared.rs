//! The shared state of one daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::{
    CallJournal, CallLogLimiter, CurrentConfiguration, LineKind, OwnershipTable, ParentCalls,
    Readiness, RouteSplits, ServerNotices, SuspectTable, TargetTables, WorkspaceRates,
};
use crate::call::{CrashReport, Protocol};
use crate::config::Config;
use crate::metrics::Metrics;
use crate::model::{CrashId, Fingerprint, Instance, MintTime, Version, WorkspaceName};
use crate::policy::crash::Suspect;
use crate::policy::member::{RoleTracker, StoreRole, View};
use crate::policy::rate::{CreditGrant, CreditQuery, HashRing};
use crate::store::{Platform, Revision};
use crate::web::Resources;

/// The state shared by the entry, the guard, the peer server and the operators'
/// interface.
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// This run of the daemon.
    pub instance: Instance,
    /// The configuration in force.
    pub current: CurrentConfiguration,
    /// The members of the estate.
    pub view: Mutex<View>,
    /// Ownership rows of once calls.
    pub ownership: OwnershipTable,
    /// Tables of targets by service.
    pub targets: TargetTables,
    /// Weighted splits of routes among services.
    pub route_splits: RouteSplits,
    /// The protocol of headers with callers and the backend server.
    pub protocol: Arc<dyn Protocol>,
    /// Calls in flight at the backend server.
    pub parent_calls: Arc<ParentCalls>,
    /// Requests that were in flight at crashes.
    pub suspects: SuspectTable,
    /// Notices of backend servers.
    pub notices: ServerNotices,
    /// Credit of workspaces with a rate limit.
    pub rates: WorkspaceRates,
    /// Recent decisions on calls.
    pub journal: CallJournal,
    /// Rate limit for log lines about single calls.
    pub log_limiter: CallLogLimiter,
    /// The account of what is held for others.
    pub resources: Resources,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The platform's store.
    pub platform: Arc<dyn Platform>,
    /// Wakes the task that publishes the state of the backend server.
    pub lease_notify: Notify,
    /// Wakes the task that exchanges updates with neighbours.
    pub gossip_notify: Notify,
    /// Wakes the task that writes rows of quarantined requests.
    pub quarantine_notify: Notify,
    /// Wakes the task that rebuilds the tables of targets.
    pub refresh_notify: Notify,
    /// The daemon's role at the platform's store.
    pub store_role: watch::Sender<StoreRole>,
    /// The tracker that decides on the role.
    pub role_tracker: Mutex<RoleTracker>,
    /// The revision of this daemon's member row, while it is in the store.
    pub member_row: Mutex<Option<Revision>>,
    /// Whether the daemon is ready for callers.
    pub readiness: Readiness,
    /// Daemons with newer data, to be queried at the next exchange.
    pub pending_peers: Mutex<BTreeSet<SocketAddr>>,
}

impl Shared {
    /// Rebuilds the tables of targets after the view or the configuration changed.
    pub fn refresh_targets(&self) {
        if let Some(in_force) = self.current.get() {
            let view = self.view.lock();
            self.targets.update(&in_force.estate, &view);
            if in_force.estate.workspaces.is_some() {
                // The age of the ring decides how much a new bucket may grant.
                self.rates.ring(&view);
            }
        }
    }

    /// Schedules a rebuild of the tables of targets after members changed.
    ///
    /// When an estate starts, a thousand members become known within a second. Each
    /// rebuild goes through all members, so changes close together share one.
    pub fn members_changed(&self) {
        self.refresh_notify.notify_one();
        self.notify_gossip();
    }

    /// Takes a token for a log line about a single call; a daemon that is stopping has a
    /// budget of its own for all kinds.
    pub fn may_log(&self, kind: LineKind) -> bool {
        let is_stopping = self.readiness.is_stopping();
        let kind = if is_stopping {
            LineKind::Stopping
        } else {
            kind
        };
        self.log_limiter.try_take(kind)
    }

    /// Returns the hash ring that assigns workspaces to their coordinators.
    pub fn ring(&self) -> Arc<HashRing> {
        let view = self.view.lock();
        self.rates.ring(&view)
    }

    /// Grants credit of a workspace to the daemon at `from`; `None` if no limit of
    /// the workspace is known.
    pub fn grant_credit(
        &self,
        workspace: &WorkspaceName,
        from: SocketAddr,
        query: CreditQuery,
    ) -> Option<CreditGrant> {
        let in_force = self.current.get()?;
        let workspaces = in_force.estate.workspaces.as_ref()?;
        let limit = workspaces.get(workspace)?.limit?;
        let own = self.instance.address;
        Some(self.rates.grant(workspace, limit, own, from, query))
    }

    /// Returns whether the daemon is ready for callers: a configuration is in force,
    /// the other daemons are known, and no stop is planned.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready() && self.current.version() > Version::NONE
    }

    /// Records all requests that were in flight at a crash of this VM's server, and
    /// passes them on.
    pub fn record_own_crash(&self, requests: &[Fingerprint], crash: CrashId) {
        if self.suspects.record_own_crash(requests, crash) {
            self.suspects_changed();
        }
    }

    /// Records that a request was in flight at a crash that a guard reported, and
    /// passes it on.
    pub fn record_crash(&self, request: Option<Fingerprint>, report: &CrashReport) {
        self.merge_suspects(&report.suspects);
        let record = |request| self.suspects.record_crash(request, report.crash);
        if request.is_some_and(record) {
            self.suspects_changed();
        }
    }

    fn suspects_changed(&self) {
        self.notify_gossip();
        if self.suspects.has_unsaved() {
            self.quarantine_notify.notify_one();
        }
    }

    /// Records that a server answered a request, and passes it on if the request
    /// was a suspect.
    pub fn record_answer(&self, request: Option<Fingerprint>) {
        if request.is_some_and(|request| self.suspects.record_answer(request)) {
            self.notify_gossip();
        }
    }

    /// Merges suspects from another daemon, and passes on what is new.
    pub fn merge_suspects(&self, updates: &[Suspect]) {
        if self.suspects.merge(updates) {
            self.suspects_changed();
        }
    }

    /// Schedules an exchange with the neighbours.
    pub fn notify_gossip(&self) {
        self.gossip_notify.notify_one();
    }

    /// Schedules a query to the daemon at `address`, which has newer data.
    pub fn query_later(&self, address: SocketAddr) {
        self.pending_peers.lock().insert(address);
        self.notify_gossip();
    }
}

/// Returns the time from `now` to a deadline in milliseconds, negative if it has passed.
pub fn signed_ms(deadline: Instant, now: Instant) -> i64 {
    let left = deadline.saturating_duration_since(now).as_millis();
    let late = now.saturating_duration_since(deadline).as_millis();
    left as i64 - late as i64
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
