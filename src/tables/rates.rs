//! The credit of workspaces at this daemon, and that of those it coordinates.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::declare::Limit;
use crate::model::WorkspaceName;
use crate::policy::member::{ChangeCount, View};
use crate::policy::rate::{
    CreditBucket, CreditDecision, CreditGrant, CreditQuery, HashRing, LocalCredit, RateTolerance,
    Sharing,
};

/// How often idle entries are looked for, by questions for credit.
const QUERIES_PER_SWEEP: u64 = 4096;

/// The credit of one workspace at this daemon.
#[derive(Debug)]
pub struct WorkspaceCredit {
    local: Mutex<LocalCredit>,
    querying: AtomicBool,
    /// Wakes requests that wait for the coordinator's answer.
    pub grant_notify: Notify,
    admitted: AtomicU64,
    refused: AtomicU64,
}

/// What became of the requests of one workspace by its rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateCount {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests that were within the rate.
    pub admitted: u64,
    /// Requests that were over it.
    pub refused: u64,
}

/// The ring, and since when it has been as it is.
#[derive(Debug)]
struct RingState {
    change: Option<ChangeCount>,
    ring: Arc<HashRing>,
    since: Instant,
}

/// The credit of all limited workspaces.
#[derive(Debug)]
pub struct WorkspaceRates {
    tolerance: RateTolerance,
    ring: Mutex<RingState>,
    credits: Mutex<HashMap<WorkspaceName, Arc<WorkspaceCredit>>>,
    buckets: Mutex<HashMap<WorkspaceName, CreditBucket>>,
    grant_queries: AtomicU64,
    /// Wakes the task that tells coordinators of the demand.
    pub demand_notify: Notify,
}

impl WorkspaceRates {
    /// Makes empty tables under what an estate tolerates.
    pub fn new(tolerance: RateTolerance) -> Self {
        Self {
            tolerance,
            ring: Mutex::new(RingState {
                change: None,
                ring: Arc::default(),
                since: Instant::now(),
            }),
            credits: Mutex::default(),
            buckets: Mutex::default(),
            grant_queries: AtomicU64::new(0),
            demand_notify: Notify::new(),
        }
    }

    /// Returns the ring of the members of a view.
    pub fn ring(&self, view: &View) -> Arc<HashRing> {
        let mut state = self.ring.lock();
        if state.change != Some(view.change()) {
            state.change = Some(view.change());
            let ring = HashRing::new(view);
            if ring != *state.ring {
                state.ring = Arc::new(ring);
                state.since = Instant::now();
            }
        }
        Arc::clone(&state.ring)
    }

    /// Returns the credit of a workspace here.
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

    /// Takes the credit of one request out.
    pub fn try_take(
        &self,
        credit: &WorkspaceCredit,
        limit: Limit,
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

    /// Returns what to ask the coordinator for, if it is time to and nobody
    /// asks already; whoever gets this calls [`WorkspaceCredit::end_query`] in the end. A
    /// request that `waits` depends on the answer.
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

    /// Tells whether requests of a workspace arrived here lately.
    pub fn is_active(&self) -> bool {
        let credits = self.credits.lock();
        credits
            .values()
            .any(|credit| credit.local.lock().is_registered())
    }

    /// Returns what is to be told to coordinators now; whoever gets this calls
    /// [`WorkspaceCredit::end_query`] on each in the end.
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

    /// Takes note that the coordinator did not answer.
    pub fn record_no_answer(&self, credit: &WorkspaceCredit, members: usize) {
        let mut local = credit.local.lock();
        local.record_no_answer(Instant::now(), &self.tolerance, members, &mut rand::rng());
    }

    /// Lends credit of a workspace that this daemon coordinates.
    pub fn grant(
        &self,
        workspace: &WorkspaceName,
        limit: Limit,
        from: SocketAddr,
        query: CreditQuery,
    ) -> CreditGrant {
        let now = Instant::now();
        let mut buckets = self.buckets.lock();
        if self
            .grant_queries
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(QUERIES_PER_SWEEP)
        {
            buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
        if !buckets.contains_key(workspace) {
            let since = self.ring.lock().since;
            buckets.insert(workspace.clone(), CreditBucket::new(since, &self.tolerance));
        }
        match buckets.get_mut(workspace) {
            Some(bucket) => bucket.grant(now, &self.tolerance, limit, from, query),
            None => CreditGrant::default(),
        }
    }

    /// Returns what became of requests by their rates, the largest first.
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

    /// Takes note of a request that arrives.
    pub fn record_arrival(&self) {
        self.local.lock().record_arrival(Instant::now());
    }

    /// Gives back the credit of a request that no backend server got.
    pub fn refund(&self) {
        self.local.lock().refund(Instant::now());
    }

    /// Takes the coordinator's answer.
    pub fn apply_grant(&self, grant: CreditGrant) {
        self.local.lock().apply_grant(Instant::now(), grant);
    }

    /// Ends the asking and wakes those who wait.
    pub fn end_query(&self) {
        self.querying.store(false, Ordering::Release);
        self.grant_notify.notify_waiters();
    }

    /// Tells whether the coordinator is being asked.
    pub fn is_querying(&self) -> bool {
        self.querying.load(Ordering::Acquire)
    }
}

/// Spread of the time after which callers over their rate come back, so that
/// they do not come together.
pub fn add_jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::Rng::random_range(&mut rand::rng(), 1.0..2.0))
}
