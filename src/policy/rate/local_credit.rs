//! The credit of one workspace at one daemon.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::arrival_rate::{ArrivalRate, decay};
use super::bucket::{
    CreditGrant, CreditQuery, DISCONNECT_TIMEOUT, SHARE_DECAY_TIME, UNUSED_LIFETIME,
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
/// Time over which a disconnected daemon accumulates credit, in seconds, and the
/// smallest capacity for it, in requests.
const LOCAL_BURST_SECS: f64 = 1.0;
const MIN_LOCAL_BURST: f64 = 3.0;
/// Fraction of its share that a disconnected daemon uses while the coordinator
/// still counts it as connected.
const UNCONFIRMED_FRACTION: f64 = 0.5;
/// Longest time since the last answer for which a disconnected daemon credits its
/// share.
const MAX_BACKFILL_TIME: Duration = Duration::from_secs(1);
/// Time over which arrivals are averaged to size requests for credit, and to
/// divide the rate among disconnected daemons.
const RECENT_TIME: Duration = Duration::from_secs(1);
const SUSTAINED_TIME: Duration = Duration::from_secs(10);
/// How often the demand is reported to the coordinator if no credit is needed;
/// without reports it treats the daemon as disconnected.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
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
    /// Requests that may be admitted, with fractions while disconnected.
    credit: f64,
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
            return self.take_local(now, share, burst.max(1.0));
        }
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return CreditDecision::Admit;
        }
        if self.disconnected_until.is_some() {
            let share = self.local_rate(now, tolerance, limit, members);
            let burst = (share * LOCAL_BURST_SECS).max(MIN_LOCAL_BURST);
            let taken = self.take_local(now, share, burst);
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
            });
        }
        let local_admits = self.local_admits;
        *self = Self::new(now);
        Some(CreditQuery {
            balance: 0.0,
            amount: 0.0,
            demand: 0.0,
            local_admits,
        })
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
        self.last_accrual = now;
        self.refuse_until = (!grant.wait.is_zero()).then(|| {
            let until = now + grant.wait.min(MAX_QUERY_INTERVAL);
            (until, grant.wait)
        });
    }

    /// Records that the coordinator did not answer.
    ///
    /// The daemon's share is credited from the last answer on. A fraction of a
    /// request is rounded up at random, so that daemons that are disconnected
    /// together neither all refuse their first request nor all admit it.
    pub fn record_no_answer<R: Rng>(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        members: usize,
        rng: &mut R,
    ) {
        self.report_admits = 0.0;
        if self.disconnected_until.is_none() {
            let backfill = match (self.share, self.last_contact) {
                (Some((share, _)), Some(last_contact)) => {
                    let since = now
                        .saturating_duration_since(last_contact)
                        .min(MAX_BACKFILL_TIME);
                    share * since.as_secs_f64()
                }
                _ => tolerance.initial_credit() / members.max(1) as f64,
            };
            self.credit += backfill.floor();
            if rng.random_bool(backfill.fract().clamp(0.0, 1.0)) {
                self.credit += 1.0;
            }
            self.credit_time = now;
            self.last_accrual = now;
        }
        self.disconnected_until = Some(now + RECONNECT_INTERVAL);
    }

    /// Returns the requests per second that the daemon may admit by itself.
    fn local_rate(
        &self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
        members: usize,
    ) -> f64 {
        let rate = tolerance.rate(limit);
        match self.share {
            Some((share, at)) => {
                let age = now.saturating_duration_since(at);
                let own = share.min(rate) * decay(age, SHARE_DECAY_TIME);
                // Until the coordinator reserves it, other daemons get it too.
                if age < DISCONNECT_TIMEOUT {
                    own * UNCONFIRMED_FRACTION
                } else {
                    own
                }
            }
            None => rate * tolerance.excess / members.max(1) as f64,
        }
    }

    /// Credits the daemon's own share, then takes the credit for one request.
    fn take_local(&mut self, now: Instant, share: f64, burst: f64) -> CreditDecision {
        let age = now
            .saturating_duration_since(self.last_accrual)
            .as_secs_f64();
        self.last_accrual = now;
        self.credit = (self.credit + share * age).min(burst.max(self.credit));
        self.credit_time = now;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return CreditDecision::Admit;
        }
        let wait = (1.0 - self.credit) / share.max(f64::MIN_POSITIVE);
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
