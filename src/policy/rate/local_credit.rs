//! The credit of one workspace at one daemon.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::arrival_rate::{ArrivalRate, decay};
use super::bucket::{
    CreditGrant, CreditQuery, DISCONNECT_TIMEOUT, LOCAL_BURST_SECS, SHARE_DECAY_TIME,
    UNUSED_LIFETIME,
};
use super::{RateTolerance, Sharing};
use crate::declare::RateLimit;

/// How long the credit of one grant should last, in seconds, and the fraction of
/// it that may be left when more is requested.
const TARGET_SECS: f64 = 0.5;
const REFILL_FRACTION: f64 = 0.3;
/// Requests per second from which credit is requested in advance. At lower rates
/// each request waits some milliseconds for the coordinator: if 88 daemons each
/// kept the credit for one request, none would be left of a small workspace's.
const PREFETCH_MIN_RATE: f64 = 2.0;
/// How long a daemon whose query was not answered admits requests by itself
/// before the next query.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two queries for a workspace that is over its rate.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest capacity for the credit that a disconnected daemon accumulates, in
/// requests.
const MIN_LOCAL_BURST: f64 = 3.0;
/// Time over which arrivals are averaged to size requests for credit, and to
/// divide the rate among disconnected daemons.
const RECENT_TIME: Duration = Duration::from_secs(1);
const SUSTAINED_TIME: Duration = Duration::from_secs(10);
/// How often the demand is reported to the coordinator if no credit is needed;
/// without reports it treats the daemon as disconnected.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// After this long without a request the workspace is inactive at this daemon.
const INACTIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// What to do with a request, by the rate of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// Admit it.
    Admit,
    /// Wait for the answer of the coordinator, then decide again.
    AskCoordinator,
    /// Refuse it; there is credit again after this time.
    Refuse(Duration),
}

/// The credit of one workspace at one daemon.
#[derive(Debug)]
pub struct LocalCredit {
    /// Requests that may be admitted by credit of the coordinator.
    credit: f64,
    /// Requests that may be admitted by the daemon's own share, with fractions.
    own_credit: f64,
    /// When credit was last added.
    credit_time: Instant,
    /// Requests that arrive per second, recently and over a longer time.
    recent_rate: ArrivalRate,
    sustained_rate: ArrivalRate,
    /// When the last request arrived.
    last_arrival: Instant,
    /// When the coordinator last answered, and so knows the demand.
    last_contact: Option<Instant>,
    /// The requests per second that the daemon may admit by itself, and when the
    /// coordinator granted this.
    share: Option<(f64, Instant)>,
    /// Until when requests without credit are refused, and the wait to send to
    /// their callers.
    refuse_until: Option<(Instant, Duration)>,
    /// Until when no query is sent, since the coordinator did not answer.
    disconnected_until: Option<Instant>,
    /// Requests admitted while disconnected, and how many of them the pending
    /// query reports.
    local_admits: f64,
    report_admits: f64,
    /// Up to when the daemon's own share has been credited.
    last_accrual: Instant,
}

impl LocalCredit {
    /// Creates empty local credit.
    pub fn new(now: Instant) -> Self {
        Self {
            credit: 0.0,
            own_credit: 0.0,
            credit_time: now,
            recent_rate: ArrivalRate::new(now, RECENT_TIME),
            sustained_rate: ArrivalRate::new(now, SUSTAINED_TIME),
            last_arrival: now,
            last_contact: None,
            share: None,
            refuse_until: None,
            disconnected_until: None,
            local_admits: 0.0,
            report_admits: 0.0,
            last_accrual: now,
        }
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Instant) {
        self.recent_rate.record(now);
        self.sustained_rate.record(now);
        self.last_arrival = now;
    }

    /// Takes the credit for one request, if there is any.
    pub fn take(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
        members: usize,
    ) -> CreditDecision {
        self.expire(now);
        if tolerance.sharing == Sharing::Equal {
            let parts = members.max(1) as f64;
            let share = tolerance.rate(limit) / parts;
            let burst = tolerance.capacity(limit) / parts;
            let accrued = share * self.accrual_time(now).as_secs_f64();
            return self.take_own(accrued, share, burst.max(1.0));
        }
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return CreditDecision::Admit;
        }
        if self.disconnected_until.is_some() {
            let share = self.own_share(tolerance, limit, members);
            let burst = (share * LOCAL_BURST_SECS).max(MIN_LOCAL_BURST);
            let accrued = self.accrue(now, tolerance, limit, share);
            let taken = self.take_own(accrued, share, burst);
            if taken == CreditDecision::Admit {
                self.local_admits += 1.0;
            }
            return taken;
        }
        match self.refuse_until {
            Some((until, wait)) if now < until => CreditDecision::Refuse(wait),
            _ => CreditDecision::AskCoordinator,
        }
    }

    /// Returns the credit of a request that no backend server received.
    pub fn refund(&mut self, now: Instant) {
        self.credit += 1.0;
        self.credit_time = now;
    }

    /// Returns the query to send to the coordinator, if one is due; `is_waiting`
    /// says whether a request waits for the answer.
    pub fn next_query(&mut self, now: Instant, is_waiting: bool) -> Option<CreditQuery> {
        let is_future = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if is_future(self.disconnected_until)
            || is_future(self.refuse_until.map(|(until, _)| until))
        {
            return None;
        }
        let rate = self.recent_rate.rate(now);
        if !is_waiting && rate < PREFETCH_MIN_RATE && self.disconnected_until.is_none() {
            return None;
        }
        let full = (rate * TARGET_SECS).max(1.0);
        if self.credit >= 1.0 && self.credit > full * REFILL_FRACTION {
            return None;
        }
        Some(CreditQuery {
            balance: self.credit,
            amount: (full - self.credit).ceil().max(1.0),
            demand: self.sustained_rate.rate(now),
            local_admits: self.start_report(),
            share: self.granted_share(),
        })
    }

    /// Returns whether the coordinator knows of the demand at this daemon.
    pub fn is_registered(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Returns the report of the demand to send to the coordinator, if one is
    /// due. It requests no credit; once the workspace is inactive here, it reports
    /// neither credit nor demand.
    pub fn next_report(&mut self, now: Instant) -> Option<CreditQuery> {
        let last_contact = self.last_contact?;
        let is_waiting = self.disconnected_until.is_some_and(|until| now < until);
        if is_waiting || now.saturating_duration_since(last_contact) < REPORT_INTERVAL {
            return None;
        }
        if now.saturating_duration_since(self.last_arrival) < INACTIVE_TIMEOUT {
            self.expire(now);
            return Some(CreditQuery {
                balance: self.credit,
                amount: 0.0,
                demand: self.sustained_rate.rate(now),
                local_admits: self.start_report(),
                share: self.granted_share(),
            });
        }
        let local_admits = self.local_admits;
        *self = Self::new(now);
        Some(CreditQuery {
            balance: 0.0,
            amount: 0.0,
            demand: 0.0,
            local_admits,
            share: 0.0,
        })
    }

    fn granted_share(&self) -> f64 {
        self.share.map_or(0.0, |(share, _)| share)
    }

    fn start_report(&mut self) -> f64 {
        self.report_admits = self.local_admits;
        self.report_admits
    }

    /// Applies the coordinator's answer.
    pub fn apply_grant(&mut self, now: Instant, grant: CreditGrant) {
        self.credit += grant.credit;
        if grant.credit > 0.0 {
            self.credit_time = now;
        }
        self.share = Some((grant.share, now));
        self.last_contact = Some(now);
        self.local_admits -= std::mem::take(&mut self.report_admits);
        self.disconnected_until = None;
        self.own_credit = 0.0;
        self.last_accrual = now;
        self.refuse_until = (!grant.wait.is_zero()).then(|| {
            let until = now + grant.wait.min(MAX_QUERY_INTERVAL);
            (until, grant.wait)
        });
    }

    /// Records that the coordinator did not answer.
    ///
    /// The daemon's share is credited from the last answer on. It starts with a
    /// random fraction of a request, so that daemons that are disconnected together
    /// neither all refuse their first request nor all admit it.
    pub fn record_no_answer<R: Rng>(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        members: usize,
        rng: &mut R,
    ) {
        self.report_admits = 0.0;
        if self.disconnected_until.is_none() {
            self.own_credit = rng.random_range(0.0..1.0);
            if self.share.is_none() {
                self.own_credit += tolerance.initial_credit() / members.max(1) as f64;
                self.last_accrual = now;
            }
        }
        self.disconnected_until = Some(now + RECONNECT_INTERVAL);
    }

    /// Returns the requests per second that the daemon may admit by itself.
    fn own_share(&self, tolerance: &RateTolerance, limit: RateLimit, members: usize) -> f64 {
        let rate = tolerance.rate(limit);
        match self.share {
            Some((share, _)) => share.min(rate),
            None => rate * tolerance.excess / members.max(1) as f64,
        }
    }

    /// Returns the credit of the daemon's share since the last accrual.
    fn accrue(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
        share: f64,
    ) -> f64 {
        let from = self.last_accrual;
        let time = self.accrual_time(now);
        let Some((_, granted_at)) = self.share else {
            return share * time.as_secs_f64();
        };
        // Until the coordinator reserves it, other daemons get it too.
        let reserved_at = granted_at + DISCONNECT_TIMEOUT;
        let unreserved = reserved_at.min(now).saturating_duration_since(from);
        let reserved = time.saturating_sub(unreserved);
        let age = now.saturating_duration_since(granted_at);
        let reserved_rate = share * decay(age, SHARE_DECAY_TIME);
        let unreserved_rate = share * tolerance.unreserved_fraction(limit);
        unreserved_rate * unreserved.as_secs_f64() + reserved_rate * reserved.as_secs_f64()
    }

    /// Returns the time since the last accrual, which is now.
    fn accrual_time(&mut self, now: Instant) -> Duration {
        let time = now.saturating_duration_since(self.last_accrual);
        self.last_accrual = now;
        time
    }

    /// Adds credit of the daemon's own share, then takes that for one request.
    fn take_own(&mut self, accrued: f64, share: f64, burst: f64) -> CreditDecision {
        self.own_credit = (self.own_credit + accrued).min(burst.max(self.own_credit));
        if self.own_credit >= 1.0 {
            self.own_credit -= 1.0;
            return CreditDecision::Admit;
        }
        let wait = (1.0 - self.own_credit) / share.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(wait.min(2.0)).unwrap_or(RECONNECT_INTERVAL);
        CreditDecision::Refuse(wait)
    }

    /// Drops credit that was unused for too long, since the coordinator counts it
    /// as outstanding no longer.
    fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.credit_time) > UNUSED_LIFETIME {
            self.credit = self.credit.min(0.0);
        }
    }
}
