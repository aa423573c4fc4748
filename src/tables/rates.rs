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
const SWEEP: u64 = 4096;

/// The credit of one workspace at this daemon.
#[derive(Debug)]
pub struct Credit {
    stock: Mutex<LocalCredit>,
    asking: AtomicBool,
    /// Wakes requests that wait for the coordinator's answer.
    pub told: Notify,
    taken: AtomicU64,
    refused: AtomicU64,
}

/// What became of the requests of one workspace by its rate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateCount {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests that were within the rate.
    pub taken: u64,
    /// Requests that were over it.
    pub refused: u64,
}

/// The ring, and since when it has been as it is.
#[derive(Debug)]
struct Known {
    change: Option<ChangeCount>,
    ring: Arc<HashRing>,
    since: Instant,
}

/// The credit of all limited workspaces.
#[derive(Debug)]
pub struct Rates {
    terms: RateTolerance,
    known: Mutex<Known>,
    stocks: Mutex<HashMap<WorkspaceName, Arc<Credit>>>,
    buckets: Mutex<HashMap<WorkspaceName, CreditBucket>>,
    lent: AtomicU64,
    /// Wakes the task that tells coordinators of the demand.
    pub begun: Notify,
}

impl Rates {
    /// Makes empty tables under what an estate tolerates.
    pub fn new(terms: RateTolerance) -> Self {
        Self {
            terms,
            known: Mutex::new(Known {
                change: None,
                ring: Arc::default(),
                since: Instant::now(),
            }),
            stocks: Mutex::default(),
            buckets: Mutex::default(),
            lent: AtomicU64::new(0),
            begun: Notify::new(),
        }
    }

    /// Returns the ring of the members of a view.
    pub fn ring(&self, view: &View) -> Arc<HashRing> {
        let mut known = self.known.lock();
        if known.change != Some(view.change()) {
            known.change = Some(view.change());
            let ring = HashRing::new(view);
            if ring != *known.ring {
                known.ring = Arc::new(ring);
                known.since = Instant::now();
            }
        }
        Arc::clone(&known.ring)
    }

    /// Returns the credit of a workspace here.
    pub fn credit(&self, workspace: &WorkspaceName) -> Arc<Credit> {
        let mut stocks = self.stocks.lock();
        match stocks.get(workspace) {
            Some(credit) => Arc::clone(credit),
            None => {
                let credit = Arc::new(Credit::new());
                self.begun.notify_one();
                stocks.insert(workspace.clone(), Arc::clone(&credit));
                credit
            }
        }
    }

    /// Takes the credit of one request out.
    pub fn take(&self, credit: &Credit, limit: Limit, members: usize) -> CreditDecision {
        let mut stock = credit.stock.lock();
        let taken = stock.take(Instant::now(), &self.terms, limit, members);
        match taken {
            CreditDecision::Admit => credit.taken.fetch_add(1, Ordering::Relaxed),
            CreditDecision::Refuse(_) => credit.refused.fetch_add(1, Ordering::Relaxed),
            CreditDecision::AskCoordinator => 0,
        };
        taken
    }

    /// Returns what to ask the coordinator for, if it is time to and nobody
    /// asks already; whoever gets this calls [`Credit::asked`] in the end. A
    /// request that `waits` depends on the answer.
    pub fn begin_asking(&self, credit: &Credit, waits: bool) -> Option<CreditQuery> {
        if self.terms.sharing == Sharing::Equal {
            return None;
        }
        if credit.asking.swap(true, Ordering::AcqRel) {
            return None;
        }
        let asked = credit.stock.lock().next_query(Instant::now(), waits);
        match asked {
            Some(_) => self.begun.notify_one(),
            None => credit.asked(),
        }
        asked
    }

    /// Tells whether requests of a workspace arrived here lately.
    pub fn is_active(&self) -> bool {
        let stocks = self.stocks.lock();
        stocks
            .values()
            .any(|credit| credit.stock.lock().is_registered())
    }

    /// Returns what is to be told to coordinators now; whoever gets this calls
    /// [`Credit::asked`] on each in the end.
    pub fn begin_telling(&self) -> Vec<(WorkspaceName, Arc<Credit>, CreditQuery)> {
        let now = Instant::now();
        let stocks = self.stocks.lock();
        let told = stocks.iter().filter_map(|(name, credit)| {
            if credit.asking.swap(true, Ordering::AcqRel) {
                return None;
            }
            let asked = credit.stock.lock().next_report(now);
            if asked.is_none() {
                credit.asked();
            }
            Some((name.clone(), Arc::clone(credit), asked?))
        });
        told.collect()
    }

    /// Takes note that the coordinator did not answer.
    pub fn unanswered(&self, credit: &Credit, members: usize) {
        let mut stock = credit.stock.lock();
        stock.record_no_answer(Instant::now(), &self.terms, members, &mut rand::rng());
    }

    /// Lends credit of a workspace that this daemon coordinates.
    pub fn lend(
        &self,
        workspace: &WorkspaceName,
        limit: Limit,
        from: SocketAddr,
        asked: CreditQuery,
    ) -> CreditGrant {
        let now = Instant::now();
        let mut buckets = self.buckets.lock();
        if self
            .lent
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(SWEEP)
        {
            buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
        if !buckets.contains_key(workspace) {
            let since = self.known.lock().since;
            buckets.insert(workspace.clone(), CreditBucket::new(since, &self.terms));
        }
        match buckets.get_mut(workspace) {
            Some(bucket) => bucket.grant(now, &self.terms, limit, from, asked),
            None => CreditGrant::default(),
        }
    }

    /// Returns what became of requests by their rates, the largest first.
    pub fn counts(&self, most: usize) -> Vec<RateCount> {
        let stocks = self.stocks.lock();
        let mut counts: Vec<RateCount> = stocks
            .iter()
            .map(|(workspace, credit)| RateCount {
                workspace: workspace.clone(),
                taken: credit.taken.load(Ordering::Relaxed),
                refused: credit.refused.load(Ordering::Relaxed),
            })
            .collect();
        drop(stocks);
        counts.sort_by_key(|count| std::cmp::Reverse((count.taken + count.refused, count.refused)));
        counts.truncate(most);
        counts
    }
}

impl Credit {
    fn new() -> Self {
        Self {
            stock: Mutex::new(LocalCredit::new(Instant::now())),
            asking: AtomicBool::new(false),
            told: Notify::new(),
            taken: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Takes note of a request that arrives.
    pub fn arrived(&self) {
        self.stock.lock().record_arrival(Instant::now());
    }

    /// Gives back the credit of a request that no backend server got.
    pub fn give_back(&self) {
        self.stock.lock().refund(Instant::now());
    }

    /// Takes the coordinator's answer.
    pub fn lent(&self, lent: CreditGrant) {
        self.stock.lock().apply_grant(Instant::now(), lent);
    }

    /// Ends the asking and wakes those who wait.
    pub fn asked(&self) {
        self.asking.store(false, Ordering::Release);
        self.told.notify_waiters();
    }

    /// Tells whether the coordinator is being asked.
    pub fn is_asking(&self) -> bool {
        self.asking.load(Ordering::Acquire)
    }
}

/// Spread of the time after which callers over their rate come back, so that
/// they do not come together.
pub fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::Rng::random_range(&mut rand::rng(), 1.0..2.0))
}
