//! Emulation of daemons that share the rate of one workspace, in virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bramleymount::declare::RateLimit;
use bramleymount::model::Rate;
use bramleymount::policy::rate::{
    CreditBucket, CreditDecision, CreditGrant, CreditQuery, LocalCredit, RateTolerance, Sharing,
    Standing,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// One step of the emulation.
const STEP: Duration = Duration::from_millis(5);
/// Length of the sliding window in which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// How often daemons check whether a report is due.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a query without an answer fails.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// The tolerance of a large estate.
pub(crate) fn tolerance(sharing: Sharing) -> RateTolerance {
    RateTolerance {
        window: WINDOW,
        excess: 0.1,
        slack: 20.0,
        sharing,
    }
}

pub(crate) fn limit(rate: f64, burst: u32) -> RateLimit {
    RateLimit {
        rate: Rate::per_second(rate),
        burst,
    }
}

/// Time until daemons that a coordinator doesn't answer take it for silent.
const SILENCE_TIME: Duration = Duration::from_secs(4);
/// Time until daemons that are no longer cut off know it.
const HEAL_TIME: Duration = Duration::from_millis(500);

/// The daemon that coordinates, without callers in tests that put them on the first ones.
pub(crate) const COORDINATOR: usize = 60;

/// The address of a daemon.
fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], daemon as u16 + 1))
}

/// Daemons that are cut off from all others, and reach each other.
struct Partition {
    daemons: std::ops::Range<usize>,
    since: Duration,
    healed_at: Option<Duration>,
    /// The bucket of the daemons without the coordinator, once they have one.
    bucket: Option<CreditBucket>,
}

/// A query on its way to the coordinator.
struct QueryInFlight {
    daemon: usize,
    query: CreditQuery,
    arrival: Duration,
    lost: bool,
}

/// A reply on its way to a daemon; without a grant the query failed.
struct ReplyInFlight {
    daemon: usize,
    grant: Option<CreditGrant>,
    arrival: Duration,
}

struct Daemon {
    local_credit: LocalCredit,
    asking: bool,
    waiting: u32,
    is_disconnected: bool,
}

/// The emulated estate.
pub(crate) struct World {
    pub(crate) limit: RateLimit,
    pub(crate) tolerance: RateTolerance,
    daemons: Vec<Daemon>,
    bucket: CreditBucket,
    /// The daemon that coordinates; another one takes over in a partition.
    coordinator: usize,
    partition: Option<Partition>,
    queries: Vec<QueryInFlight>,
    replies: Vec<ReplyInFlight>,
    pub(crate) loss_rate: f64,
    start: Instant,
    now: Duration,
    rng: StdRng,
    admitted: VecDeque<Duration>,
    pub(crate) worst_window: usize,
    pub(crate) admitted_count: u64,
    pub(crate) refused_count: u64,
    pub(crate) query_count: u64,
}

impl World {
    pub(crate) fn new(daemons: usize, limit: RateLimit, sharing: Sharing, seed: u64) -> Self {
        let start = Instant::now();
        let tolerance = tolerance(sharing);
        let daemon = |_| Daemon {
            local_credit: LocalCredit::new(start),
            asking: false,
            waiting: 0,
            is_disconnected: false,
        };
        Self {
            limit,
            tolerance,
            daemons: (0..daemons).map(daemon).collect(),
            bucket: CreditBucket::new(start, address(COORDINATOR), &tolerance),
            coordinator: COORDINATOR,
            partition: None,
            queries: Vec::new(),
            replies: Vec::new(),
            loss_rate: 0.0,
            start,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            admitted: VecDeque::new(),
            worst_window: 0,
            admitted_count: 0,
            refused_count: 0,
            query_count: 0,
        }
    }

    /// Returns how many requests may be admitted in a window.
    pub(crate) fn bound(&self) -> f64 {
        let allowed = self.limit.rate.get() * WINDOW.as_secs_f64() + f64::from(self.limit.burst);
        allowed * (1.0 + self.tolerance.excess) + self.tolerance.slack
    }

    pub(crate) fn set_disconnected(
        &mut self,
        daemons: std::ops::Range<usize>,
        is_disconnected: bool,
    ) {
        for daemon in &mut self.daemons[daemons] {
            daemon.is_disconnected = is_disconnected;
        }
    }

    /// Restarts a daemon, which loses its state.
    pub(crate) fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].local_credit = LocalCredit::new(self.start + self.now);
        self.daemons[daemon].asking = false;
        self.daemons[daemon].waiting = 0;
        self.queries.retain(|query| query.daemon != daemon);
        self.replies.retain(|reply| reply.daemon != daemon);
    }

    /// Replaces the coordinator by one without its state.
    pub(crate) fn lose_coordinator(&mut self) {
        let own = address(self.coordinator);
        self.bucket = CreditBucket::new(self.start + self.now, own, &self.tolerance);
    }

    /// Cuts daemons off from all others; they reach each other.
    pub(crate) fn cut_off(&mut self, daemons: std::ops::Range<usize>) {
        self.partition = Some(Partition {
            daemons,
            since: self.now,
            healed_at: None,
            bucket: None,
        });
    }

    /// Ends the partition; daemons know it a little later.
    pub(crate) fn heal(&mut self) {
        if let Some(partition) = &mut self.partition {
            partition.healed_at = Some(self.now);
        }
    }

    /// Returns whether a daemon is on the coordinator's side of the partition.
    fn is_with_coordinator(&self, daemon: usize) -> bool {
        self.partition.as_ref().is_none_or(|partition| {
            let is_inside = |daemon| partition.daemons.contains(&daemon);
            is_inside(daemon) == is_inside(self.coordinator)
        })
    }

    /// Lets the daemons without the coordinator take over, and both sides know how many
    /// daemons they reach.
    fn update_partition(&mut self) {
        let (start, now, count) = (self.start, self.now, self.daemons.len());
        let Some(partition) = &mut self.partition else {
            return;
        };
        if partition.healed_at.is_some_and(|at| now >= at + HEAL_TIME) {
            self.partition = None;
            self.bucket.set_standing(start + now, Standing::Majority);
            return;
        }
        if partition.bucket.is_none() && now >= partition.since + SILENCE_TIME {
            let inside = partition.daemons.len();
            let with_coordinator = match partition.daemons.contains(&self.coordinator) {
                true => inside,
                false => count - inside,
            };
            let others = count - with_coordinator;
            let at = start + now;
            self.bucket
                .set_standing(at, Standing::new(with_coordinator, others));
            let first = (0..count).find(|daemon| {
                partition.daemons.contains(daemon) != partition.daemons.contains(&self.coordinator)
            });
            let own = address(first.unwrap_or_default());
            let mut bucket = CreditBucket::take_over(at, own, &self.tolerance);
            bucket.set_standing(at, Standing::new(others, with_coordinator));
            partition.bucket = Some(bucket);
        }
    }

    /// Runs for `time`, while `rates` requests per second arrive at each daemon.
    pub(crate) fn run_for(&mut self, time: Duration, rates: impl Fn(usize) -> f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.update_partition();
            for index in 0..self.daemons.len() {
                let mean = rates(index) * STEP.as_secs_f64();
                let minimum = mean.floor() as u32;
                let extra = u32::from(self.rng.random_bool(mean - f64::from(minimum)));
                for _ in 0..minimum + extra {
                    self.arrive(index);
                }
            }
            self.deliver();
            if self
                .now
                .as_millis()
                .is_multiple_of(REPORT_INTERVAL.as_millis())
            {
                (0..self.daemons.len()).for_each(|index| self.report(index));
            }
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.start + self.now;
        let daemon = &mut self.daemons[index];
        if daemon.asking || self.tolerance.sharing == Sharing::Equal {
            return;
        }
        if let Some(query) = daemon.local_credit.next_report(now) {
            self.send(index, query);
        }
    }

    fn arrive(&mut self, index: usize) {
        let now = self.start + self.now;
        self.daemons[index].local_credit.record_arrival(now);
        self.take(index);
    }

    fn take(&mut self, index: usize) {
        let now = self.start + self.now;
        let members = self.daemons.len();
        let daemon = &mut self.daemons[index];
        match daemon
            .local_credit
            .take(now, &self.tolerance, self.limit, members)
        {
            CreditDecision::Admit => self.admit(),
            CreditDecision::Refuse(_) => self.refused_count += 1,
            CreditDecision::AskCoordinator => daemon.waiting += 1,
        }
        self.ask(index);
    }

    fn ask(&mut self, index: usize) {
        let now = self.start + self.now;
        let daemon = &mut self.daemons[index];
        if daemon.asking || self.tolerance.sharing == Sharing::Equal {
            return;
        }
        if let Some(query) = daemon.local_credit.next_query(now, daemon.waiting > 0) {
            self.send(index, query);
        }
    }

    fn send(&mut self, index: usize, query: CreditQuery) {
        let daemon = &mut self.daemons[index];
        daemon.asking = true;
        self.query_count += 1;
        let is_disconnected = daemon.is_disconnected && index != self.coordinator;
        let lost = is_disconnected || self.rng.random_bool(self.loss_rate);
        let is_cut_off = !self.is_with_coordinator(index)
            && !matches!(&self.partition, Some(partition) if partition.bucket.is_some());
        let lost = lost || is_cut_off;
        let delay = Duration::from_millis(self.rng.random_range(1..6));
        self.queries.push(QueryInFlight {
            daemon: index,
            query,
            arrival: self.now + if lost { QUERY_TIMEOUT } else { delay },
            lost,
        });
    }

    fn deliver(&mut self) {
        let now = self.start + self.now;
        let is_due = |at: Duration| at <= self.now;
        let (arrived, rest) = std::mem::take(&mut self.queries)
            .into_iter()
            .partition::<Vec<_>, _>(|query| is_due(query.arrival));
        self.queries = rest;
        for query in arrived {
            let is_with_coordinator = self.is_with_coordinator(query.daemon);
            let (tolerance, limit) = (&self.tolerance, self.limit);
            let bucket = match &mut self.partition {
                Some(partition) if !is_with_coordinator => partition.bucket.as_mut(),
                _ => Some(&mut self.bucket),
            };
            let grant = bucket.filter(|_| !query.lost).map(|bucket| {
                bucket.grant(now, tolerance, limit, address(query.daemon), query.query)
            });
            // A reply may be lost too, and its credit with it.
            let lost = query.lost || self.rng.random_bool(self.loss_rate);
            let delay = Duration::from_millis(self.rng.random_range(1..6));
            self.replies.push(ReplyInFlight {
                daemon: query.daemon,
                grant: grant.filter(|_| !lost),
                arrival: self.now + if query.lost { Duration::ZERO } else { delay },
            });
        }
        let (arrived, rest) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|reply| reply.arrival <= self.now);
        self.replies = rest;
        for reply in arrived {
            let members = self.daemons.len();
            let daemon = &mut self.daemons[reply.daemon];
            daemon.asking = false;
            match reply.grant {
                Some(grant) => daemon.local_credit.apply_grant(now, grant),
                None => daemon.local_credit.record_no_answer(
                    now,
                    &self.tolerance,
                    members,
                    &mut self.rng,
                ),
            }
            for _ in 0..std::mem::take(&mut daemon.waiting) {
                self.take(reply.daemon);
            }
        }
    }

    fn admit(&mut self) {
        self.admitted_count += 1;
        self.admitted.push_back(self.now);
        while self
            .admitted
            .front()
            .is_some_and(|at| *at + WINDOW < self.now)
        {
            self.admitted.pop_front();
        }
        self.worst_window = self.worst_window.max(self.admitted.len());
    }

    /// Returns the share of requests refused since the last call.
    pub(crate) fn take_refused_share(&mut self) -> f64 {
        let (admitted_count, refused_count) = (
            std::mem::take(&mut self.admitted_count),
            std::mem::take(&mut self.refused_count),
        );
        refused_count as f64 / (admitted_count + refused_count).max(1) as f64
    }
}
