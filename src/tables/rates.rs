//! Local credit of workspaces, and the buckets of those that this daemon coordinates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::declare::RateLimit;
use crate::model::{Instance, WorkspaceName};
use crate::policy::member::{ChangeCount, View};
use crate::policy::rate::{
    CreditBucket, CreditDecision, CreditGrant, CreditQuery, HashRing, LocalCredit,
    PARTITION_TIMEOUT, RateTolerance, Sharing, Standing,
};

/// How often it is checked whether silent members count as gone.
const FORMER_INTERVAL: Duration = Duration::from_secs(5);
/// Queries for credit between two removals of idle buckets.
const QUERIES_PER_SWEEP: u64 = 4096;

/// The local credit of one workspace.
#[derive(Debug)]
pub struct WorkspaceCredit {
    local: Mutex<LocalCredit>,
    querying: AtomicBool,
    /// Wakes requests that wait for the coordinator's grant.
    pub grant_notify: Notify,
    admitted: AtomicU64,
    refused: AtomicU64,
}

/// The requests of one workspace, counted by the decision on its rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateCount {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests within the rate.
    pub admitted: u64,
    /// Requests over the rate.
    pub refused: u64,
}

/// The hash ring of coordinators, and when it last changed.
#[derive(Debug)]
struct RingState {
    change: Option<ChangeCount>,
    ring: Arc<HashRing>,
    since: Instant,
    /// The ring with the members that fell silent lately.
    former: Arc<HashRing>,
    /// When the former ring is to be computed again, since silent members count as gone.
    former_until: Option<Instant>,
    standing: Standing,
}

/// What the members say of the coordination of a workspace by this daemon.
struct Coordination {
    since: Instant,
    /// Whether another daemon coordinates it, or did and may be cut off.
    is_taken_over: bool,
    standing: Standing,
}

impl RingState {
    fn update_former(&mut self, now: Instant, view: &View) {
        let since = now.checked_sub(PARTITION_TIMEOUT).unwrap_or(now);
        let silent = view.silent_after(since).count();
        self.standing = Standing::new(self.ring.len(), silent);
        self.former_until = (silent > 0).then_some(now + FORMER_INTERVAL);
        self.former = match silent {
            0 => Arc::clone(&self.ring),
            _ => Arc::new(HashRing::with_silent(view, since)),
        };
    }
}

/// The credit of all workspaces with a rate limit.
#[derive(Debug)]
pub struct WorkspaceRates {
    tolerance: RateTolerance,
    ring: Mutex<RingState>,
    credits: Mutex<HashMap<WorkspaceName, Arc<WorkspaceCredit>>>,
    buckets: Mutex<HashMap<WorkspaceName, CreditBucket>>,
    grant_queries: AtomicU64,
    /// Wakes the task that reports demand to coordinators.
    pub demand_notify: Notify,
}

impl WorkspaceRates {
    /// Makes empty tables with a rate tolerance.
    pub fn new(tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            ring: Mutex::new(RingState {
                change: None,
                ring: Arc::default(),
                since: Instant::now(),
                former: Arc::default(),
                former_until: None,
                standing: Standing::default(),
            }),
            credits: Mutex::default(),
            buckets: Mutex::default(),
            grant_queries: AtomicU64::new(0),
            demand_notify: Notify::new(),
        }
    }

    /// Returns the hash ring of the members of a view.
    pub fn ring(&self, view: &View) -> Arc<HashRing> {
        let now = Instant::now();
        let mut state = self.ring.lock();
        let is_changed = state.change != Some(view.change());
        if is_changed {
            state.change = Some(view.change());
            let ring = HashRing::new(view);
            if ring != *state.ring {
                self.end_takeovers(&ring, view.own().instance);
                state.ring = Arc::new(ring);
                state.since = now;
            }
        }
        if is_changed || state.former_until.is_some_and(|until| now >= until) {
            state.update_former(now, view);
        }
        Arc::clone(&state.ring)
    }

    /// Drops the buckets of workspaces whose coordinator was silent and is heard again.
    fn end_takeovers(&self, ring: &HashRing, own: Instance) {
        let is_own = |workspace: &WorkspaceName| ring.coordinator(workspace) == Some(own);
        let mut buckets = self.buckets.lock();
        buckets.retain(|workspace, bucket| !bucket.is_taken_over() || is_own(workspace));
    }

    /// Returns how the daemon at `own` coordinates a workspace.
    fn coordination(&self, workspace: &WorkspaceName, own: SocketAddr) -> Coordination {
        let state = self.ring.lock();
        let former = state.former.coordinator(workspace);
        Coordination {
            since: state.since,
            is_taken_over: former.is_some_and(|former| former.address != own),
            standing: state.standing,
        }
    }

    /// Returns the local credit of a workspace.
    pub fn credit(&self, workspace: &WorkspaceName) -> Arc<WorkspaceCredit> {
        let mut credits = self.credits.lock();
        match credits.get(workspace) {
            Some(credit) => Arc::clone(credit),
            None => {
                let credit = Arc::new(WorkspaceCredit::new());
                self.demand_notify.notify_one();
                credits.insert(workspace.clone(), Arc::clone(&credit));
                credit
            }
        }
    }

    /// Takes the credit of one request, if there is enough.
    pub fn try_take(
        &self,
        credit: &WorkspaceCredit,
        limit: RateLimit,
        members: usize,
    ) -> CreditDecision {
        let mut local = credit.local.lock();
        let decision = local.take(Instant::now(), &self.tolerance, limit, members);
        match decision {
            CreditDecision::Admit => credit.admitted.fetch_add(1, Ordering::Relaxed),
            CreditDecision::Refuse(_) => credit.refused.fetch_add(1, Ordering::Relaxed),
            CreditDecision::AskCoordinator => 0,
        };
        decision
    }

    /// Returns the query to send to the coordinator, if one is due and none is in
    /// flight. `waits` says whether a request depends on the answer.
    ///
    /// The caller must call [`WorkspaceCredit::end_query`] in the end.
    pub fn begin_query(&self, credit: &WorkspaceCredit, waits: bool) -> Option<CreditQuery> {
        if self.tolerance.sharing == Sharing::Equal {
            return None;
        }
        if credit.querying.swap(true, Ordering::AcqRel) {
            return None;
        }
        let query = credit.local.lock().next_query(Instant::now(), waits);
        match query {
            Some(_) => self.demand_notify.notify_one(),
            None => credit.end_query(),
        }
        query
    }

    /// Returns whether any workspace had requests here recently.
    pub fn is_active(&self) -> bool {
        let credits = self.credits.lock();
        credits
            .values()
            .any(|credit| credit.local.lock().is_registered())
    }

    /// Returns the demand reports that are due to be sent to coordinators.
    ///
    /// The caller must call [`WorkspaceCredit::end_query`] on each in the end.
    pub fn begin_reports(&self) -> Vec<(WorkspaceName, Arc<WorkspaceCredit>, CreditQuery)> {
        let now = Instant::now();
        let credits = self.credits.lock();
        let reports = credits.iter().filter_map(|(name, credit)| {
            if credit.querying.swap(true, Ordering::AcqRel) {
                return None;
            }
            let query = credit.local.lock().next_report(now);
            if query.is_none() {
                credit.end_query();
            }
            Some((name.clone(), Arc::clone(credit), query?))
        });
        reports.collect()
    }

    /// Records that the coordinator did not answer.
    pub fn record_no_answer(&self, credit: &WorkspaceCredit, members: usize) {
        let mut local = credit.local.lock();
        local.record_no_answer(Instant::now(), &self.tolerance, members, &mut rand::rng());
    }

    /// Grants credit of a workspace that the daemon at `own` coordinates.
    pub fn grant(
        &self,
        workspace: &WorkspaceName,
        limit: RateLimit,
        own: SocketAddr,
        from: SocketAddr,
        query: CreditQuery,
    ) -> CreditGrant {
        let now = Instant::now();
        let coordination = self.coordination(workspace, own);
        let mut buckets = self.buckets.lock();
        if self
            .grant_queries
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(QUERIES_PER_SWEEP)
        {
            buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
        let tolerance = &self.tolerance;
        let is_usable =
            |bucket: &CreditBucket| bucket.is_taken_over() || !coordination.is_taken_over;
        if !buckets.get(workspace).is_some_and(is_usable) {
            let bucket = if coordination.is_taken_over {
                spdlog::info!("rate taken over from a silent daemon", kv: {
                    workspace = workspace.as_str()
                });
                CreditBucket::take_over(now, own, tolerance)
            } else {
                CreditBucket::new(coordination.since, own, tolerance)
            };
            buckets.insert(workspace.clone(), bucket);
        }
        let Some(bucket) = buckets.get_mut(workspace) else {
            return CreditGrant::default();
        };
        if !coordination.is_taken_over {
            bucket.own_rate();
        }
        bucket.set_standing(now, coordination.standing);
        bucket.grant(now, tolerance, limit, from, query)
    }

    /// Returns the counts of the `limit` workspaces with most requests, largest first.
    pub fn counts(&self, limit: usize) -> Vec<RateCount> {
        let credits = self.credits.lock();
        let mut counts: Vec<RateCount> = credits
            .iter()
            .map(|(workspace, credit)| RateCount {
                workspace: workspace.clone(),
                admitted: credit.admitted.load(Ordering::Relaxed),
                refused: credit.refused.load(Ordering::Relaxed),
            })
            .collect();
        drop(credits);
        counts.sort_by_key(|count| {
            std::cmp::Reverse((count.admitted + count.refused, count.refused))
        });
        counts.truncate(limit);
        counts
    }
}

impl WorkspaceCredit {
    fn new() -> Self {
        Self {
            local: Mutex::new(LocalCredit::new(Instant::now())),
            querying: AtomicBool::new(false),
            grant_notify: Notify::new(),
            admitted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Records an arriving request.
    pub fn record_arrival(&self) {
        self.local.lock().record_arrival(Instant::now());
    }

    /// Returns the credit of a request that reached no backend server.
    pub fn refund(&self) {
        self.local.lock().refund(Instant::now());
    }

    /// Adds the credit that the coordinator granted.
    pub fn apply_grant(&self, grant: CreditGrant) {
        self.local.lock().apply_grant(Instant::now(), grant);
    }

    /// Ends the query and wakes the requests that wait for it.
    pub fn end_query(&self) {
        self.querying.store(false, Ordering::Release);
        self.grant_notify.notify_waiters();
    }

    /// Returns whether a query to the coordinator is in flight.
    pub fn is_querying(&self) -> bool {
        self.querying.load(Ordering::Acquire)
    }
}

/// Lengthens a wait by a random factor of up to two, so that callers over their
/// rate don't all retry at once.
pub fn add_jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::Rng::random_range(&mut rand::rng(), 1.0..2.0))
}
