//! The credit of one workspace at one daemon.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::arrival_rate::{ArrivalRate, decay};
use super::bucket::{
    CreditGrant, CreditQuery, DISCONNECT_TIMEOUT, SHARE_DECAY_TIME, UNUSED_LIFETIME,
};
use super::{RateTolerance, Sharing};
use crate::declare::Limit;

/// For how long borrowed credit should last, in seconds, and the part of it that
/// may be left when more is asked for.
const TARGET_SECS: f64 = 0.5;
const REFILL_FRACTION: f64 = 0.3;
/// Requests a second from which credit is borrowed ahead. Where fewer arrive,
/// each waits for the coordinator, which takes some milliseconds: 88 daemons
/// that keep the credit of one request each leave none of a small workspace's.
const PREFETCH_MIN_RATE: f64 = 2.0;
/// How long a daemon whose question was not answered goes on by itself before
/// it asks again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two questions of a workspace that is over its rate.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which a daemon that is alone saves credit up, and the fewest
/// requests that it may save up for.
const LOCAL_BURST_SECS: f64 = 1.0;
const MIN_LOCAL_BURST: f64 = 3.0;
/// Part of its share that a daemon takes while the coordinator still counts it
/// as in touch.
const UNCONFIRMED_FRACTION: f64 = 0.5;
/// Time for which the share is made up for when the coordinator falls silent.
const MAX_BACKFILL_TIME: Duration = Duration::from_secs(1);
/// Time over which the requests are counted that borrowed credit should last
/// for, and those by which the rate is divided among daemons that are cut off.
const RECENT_TIME: Duration = Duration::from_secs(1);
const SUSTAINED_TIME: Duration = Duration::from_secs(10);
/// How often the coordinator is told of the demand, also if no credit is
/// needed; one that hears nothing takes the daemon for cut off.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// After this long without a request the workspace is taken for gone from here.
const INACTIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// What becomes of a request by the rate of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// It may go on.
    Admit,
    /// It depends on the answer of the coordinator.
    AskCoordinator,
    /// The rate is used up; there is credit again after this time.
    Refuse(Duration),
}

/// The credit of one workspace at one daemon.
#[derive(Debug)]
pub struct LocalCredit {
    /// Requests that may be taken; parts of one are saved up while alone.
    credit: f64,
    /// When credit was last added.
    credit_time: Instant,
    /// Requests that arrive a second, lately and over a longer time.
    recent_rate: ArrivalRate,
    sustained_rate: ArrivalRate,
    /// When the last one arrived.
    last_arrival: Instant,
    /// When the coordinator was told of the demand.
    last_contact: Option<Instant>,
    /// What the coordinator said the daemon may take by itself, and when.
    share: Option<(f64, Instant)>,
    /// When credit can be had again, and the wait that callers are told.
    refuse_until: Option<(Instant, Duration)>,
    /// Until when the coordinator is not asked, since it did not answer.
    disconnected_until: Option<Instant>,
    /// Requests taken without the coordinator's knowledge, and how many of them
    /// the question under way tells of.
    local_admits: f64,
    report_admits: f64,
    /// Up to when the time alone has been made up for.
    last_accrual: Instant,
}

impl LocalCredit {
    /// Makes an empty stock.
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

    /// Takes note of a request that arrives.
    pub fn record_arrival(&mut self, now: Instant) {
        self.recent_rate.record(now);
        self.sustained_rate.record(now);
        self.last_arrival = now;
    }

    /// Takes the credit of one request out, if there is any.
    pub fn take(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: Limit,
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

    /// Gives back the credit of a request that no backend server got.
    pub fn refund(&mut self, now: Instant) {
        self.credit += 1.0;
        self.credit_time = now;
    }

    /// Returns what to ask the coordinator for, if it is time to; `waits` tells
    /// whether a request depends on the answer.
    pub fn next_query(&mut self, now: Instant, is_waiting: bool) -> Option<CreditQuery> {
        let is_ahead = |until: Option<Instant>| until.is_some_and(|until| now < until);
        if is_ahead(self.disconnected_until) || is_ahead(self.refuse_until.map(|(until, _)| until))
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

    /// Tells whether the coordinator knows of requests that arrive here.
    pub fn is_registered(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Returns what to tell the coordinator though no credit is needed: how
    /// many requests arrive, or that none do any more.
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

    /// Takes the coordinator's answer.
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

    /// Takes note that the coordinator did not answer.
    ///
    /// The share is the daemon's since it last heard of it. A part of a request
    /// counts as a whole one by chance, so that those who are cut off together
    /// do not all refuse the first, nor all take it.
    pub fn record_no_answer<R: Rng>(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        members: usize,
        rng: &mut R,
    ) {
        self.report_admits = 0.0;
        if self.disconnected_until.is_none() {
            let since = match (self.share, self.last_contact) {
                (Some((share, _)), Some(last_contact)) => {
                    let since = now
                        .saturating_duration_since(last_contact)
                        .min(MAX_BACKFILL_TIME);
                    share * since.as_secs_f64()
                }
                _ => tolerance.initial_credit() / members.max(1) as f64,
            };
            self.credit += since.floor();
            if rng.random_bool(since.fract().clamp(0.0, 1.0)) {
                self.credit += 1.0;
            }
            self.credit_time = now;
            self.last_accrual = now;
        }
        self.disconnected_until = Some(now + RECONNECT_INTERVAL);
    }

    /// Returns the requests a second that the daemon may take by itself.
    fn local_rate(
        &self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: Limit,
        members: usize,
    ) -> f64 {
        let rate = tolerance.rate(limit);
        match self.share {
            Some((share, at)) => {
                let age = now.saturating_duration_since(at);
                let own = share.min(rate) * decay(age, SHARE_DECAY_TIME);
                // The others have it too until the coordinator sets it aside.
                if age < DISCONNECT_TIMEOUT {
                    own * UNCONFIRMED_FRACTION
                } else {
                    own
                }
            }
            None => rate * tolerance.excess / members.max(1) as f64,
        }
    }

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

    /// Credit that lies unused for long is gone: the coordinator counts it as
    /// out no longer.
    fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.credit_time) > UNUSED_LIFETIME {
            self.credit = self.credit.min(0.0);
        }
    }
}
