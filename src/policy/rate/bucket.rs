//! The credit of one workspace at the daemon that coordinates it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::RateTolerance;
use super::arrival_rate::decay;
use crate::declare::Limit;

/// How long lent credit may lie unused; it counts as out a little longer here,
/// so that it is never here and there at once.
pub(super) const UNUSED_LIFETIME: Duration = Duration::from_secs(3);
const OUTSTANDING_LIFETIME: Duration = Duration::from_secs(4);
/// After this long without a question a daemon may be cut off and go on by
/// itself; those with callers ask at least once a second.
pub(super) const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time in which the rate of a daemon that is cut off falls to a third. Outages
/// of a data centre last some ten seconds; callers of one that is away for good
/// come elsewhere.
pub(super) const SHARE_DECAY_TIME: Duration = Duration::from_secs(60);
/// After this long without a question a daemon is forgotten.
const FORGET_TIMEOUT: Duration = Duration::from_secs(90);
/// Most of the credit that one question takes, so that there is some for the
/// next daemon that asks.
const MAX_GRANT_FRACTION: f64 = 0.5;
/// Credit that one question may take whole.
const SMALL_GRANT: f64 = 2.0;
/// Shortest and longest time that a daemon is told to wait for credit.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A question for credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditQuery {
    /// Credit that lies unused at the daemon that asks.
    pub balance: f64,
    /// How much more it wants.
    pub amount: f64,
    /// Requests of the workspace that arrive there a second.
    pub demand: f64,
    /// Requests that it took by itself since it was last answered, while the
    /// coordinator could not be reached.
    pub local_admits: f64,
}

/// The answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CreditGrant {
    /// Credit, which is the asking daemon's from now on.
    pub credit: f64,
    /// The requests a second that it may take by itself if it is cut off.
    pub share: f64,
    /// When there is some, if it was left without any.
    pub wait: Duration,
}

/// What a daemon has borrowed.
#[derive(Clone, Copy, Debug)]
struct DaemonCredit {
    credit: f64,
    demand: f64,
    share: f64,
    /// 1 if it was left without credit, else 0.
    shortage: f64,
    last_query: Instant,
}

/// The credit of one workspace.
#[derive(Debug)]
pub struct CreditBucket {
    available: f64,
    last_refill: Instant,
    daemons: HashMap<SocketAddr, DaemonCredit>,
}

impl CreditBucket {
    /// Makes the bucket of a workspace that nobody has asked for since `since`,
    /// when this daemon began to coordinate it.
    ///
    /// What was lent by another before is not known, so that it begins with
    /// little there; a daemon that has coordinated it for long lends all that
    /// the burst allows.
    pub fn new(since: Instant, tolerance: &RateTolerance) -> Self {
        Self {
            available: tolerance.initial_credit(),
            last_refill: since,
            daemons: HashMap::new(),
        }
    }

    /// Lends credit to the daemon at `from`.
    pub fn grant(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: Limit,
        from: SocketAddr,
        query: CreditQuery,
    ) -> CreditGrant {
        // What it holds is known by its own word from now on.
        let previous = self.daemons.remove(&from);
        self.refill(now, tolerance, limit, query.balance, previous);
        let reserved_credit = previous.map_or(0.0, |previous| previous.reserved_credit(now));
        let capacity = tolerance.capacity(limit);
        // What it took beyond what was set aside for it is made up for by all.
        let unreserved = (query.local_admits - reserved_credit).max(0.0);
        self.available = (self.available - unreserved).max(-capacity);
        let amount = query.amount.max(0.0);
        let max_grant = (self.available * MAX_GRANT_FRACTION).max(self.available.min(SMALL_GRANT));
        let credit = amount.min(max_grant).floor().max(0.0);
        self.available -= credit;
        let is_short = amount >= 1.0 && query.balance + credit < 1.0;
        let shortage = f64::from(u8::from(is_short));
        let share = tolerance.rate(limit) * self.rate_share(query.demand);
        let daemon = DaemonCredit {
            credit: query.balance + credit,
            demand: query.demand,
            share,
            shortage,
            last_query: now,
        };
        self.daemons.insert(from, daemon);
        CreditGrant {
            credit,
            share,
            wait: self.retry_wait(now, tolerance, limit, shortage),
        }
    }

    /// Returns the part of the rate that a daemon has where `demand` requests a
    /// second arrive: half by demand, half the same for each that has any. A few
    /// requests tell little of what one of many daemons will need.
    fn rate_share(&self, demand: f64) -> f64 {
        if demand <= 0.0 {
            return 0.0;
        }
        let others = self.daemons.values().map(|other| other.demand);
        let active = others.filter(|demand| *demand > 0.0);
        let (count, sum) = active.fold((1.0, demand), |(count, sum), other| {
            (count + 1.0, sum + other)
        });
        0.5 * demand / sum + 0.5 / count
    }

    /// Tells whether nobody has borrowed for so long that a new bucket would be
    /// no other.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_refill) > FORGET_TIMEOUT
    }

    /// Adds what the time since the last filling allows.
    fn refill(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: Limit,
        balance: f64,
        requester: Option<DaemonCredit>,
    ) {
        let age = now.saturating_duration_since(self.last_refill);
        self.last_refill = now;
        self.daemons
            .retain(|_, other| now.saturating_duration_since(other.last_query) < FORGET_TIMEOUT);
        let rate = tolerance.rate(limit);
        let reserved: f64 = self
            .daemons
            .values()
            .chain(&requester)
            .map(|other| other.reserved_rate(now))
            .sum();
        let outstanding: f64 = self
            .daemons
            .values()
            .map(|other| other.outstanding(now))
            .sum();
        let room = (tolerance.capacity(limit) - outstanding - balance).max(0.0);
        let added = (rate - reserved).max(0.0) * age.as_secs_f64();
        self.available = (self.available + added).min(room.max(1.0));
    }

    /// Returns when a daemon that got less than it wanted should ask again.
    fn retry_wait(
        &self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: Limit,
        shortage: f64,
    ) -> Duration {
        if shortage < 1.0 {
            return Duration::ZERO;
        }
        let waiting_daemons: f64 = self
            .daemons
            .values()
            .filter(|other| now.saturating_duration_since(other.last_query) < DISCONNECT_TIMEOUT)
            .map(|other| other.shortage)
            .sum();
        let rate = tolerance.rate(limit).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(waiting_daemons / rate)
            .unwrap_or(MAX_WAIT)
            .clamp(MIN_WAIT, MAX_WAIT)
    }
}

impl DaemonCredit {
    /// Returns the credit that still lies there, if requests go on arriving as
    /// they did.
    fn outstanding(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_query);
        if age >= OUTSTANDING_LIFETIME {
            return 0.0;
        }
        (self.credit - self.demand * age.as_secs_f64()).max(0.0)
    }

    /// Returns what was left out of the bucket for it while it was silent.
    fn reserved_credit(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_query);
        if age < DISCONNECT_TIMEOUT {
            return 0.0;
        }
        let decay_secs = SHARE_DECAY_TIME.as_secs_f64();
        self.share
            * decay_secs
            * (decay(DISCONNECT_TIMEOUT, SHARE_DECAY_TIME) - decay(age, SHARE_DECAY_TIME))
    }

    /// Returns the requests a second that it may be taking by itself.
    fn reserved_rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.last_query);
        if age < DISCONNECT_TIMEOUT {
            return 0.0;
        }
        self.share * decay(age, SHARE_DECAY_TIME)
    }
}
