//! The credit of one workspace at its coordinator.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::RateTolerance;
use super::arrival_rate::decay;
use crate::declare::RateLimit;

/// How long granted credit may stay unused at a daemon. The coordinator counts it
/// as outstanding a little longer, so that it never exists in both places.
pub(super) const UNUSED_LIFETIME: Duration = Duration::from_secs(3);
const OUTSTANDING_LIFETIME: Duration = Duration::from_secs(4);
/// After this long without a query a daemon may be disconnected and admit
/// requests by itself; those with callers send a query at least every 750 ms.
pub(super) const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(850);
/// Time in which the rate of a disconnected daemon falls to about a third.
/// Outages of a data centre last some ten seconds; if one stays away, its callers
/// go elsewhere.
pub(super) const SHARE_DECAY_TIME: Duration = Duration::from_secs(60);
/// Time over which a disconnected daemon accumulates credit, in seconds.
pub(super) const LOCAL_BURST_SECS: f64 = 1.0;
/// A share is kept while it differs from the fair one by up to this factor.
const SHARE_TOLERANCE: f64 = 2.0;
/// After this long without a query the coordinator forgets a daemon.
const FORGET_TIMEOUT: Duration = Duration::from_secs(90);
/// How long a silent member may be cut off rather than gone; as long as its coordinator
/// reserves a share for it.
pub const PARTITION_TIMEOUT: Duration = FORGET_TIMEOUT;
/// Largest fraction of the credit that is granted at once, so that some is left
/// for the next daemon.
const MAX_GRANT_FRACTION: f64 = 0.5;
/// An amount of credit up to this may be granted without leaving any.
const SMALL_GRANT: f64 = 2.0;
/// Shortest and longest wait for credit that is sent to a daemon.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// How many of the members the coordinator reaches, those that fell silent lately included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// More than half of them, or nobody is silent.
    #[default]
    Majority,
    /// Exactly half.
    Half,
    /// Less than half.
    Minority,
}

impl Standing {
    /// Compares the number of members that run with that of silent ones.
    pub fn new(running: usize, silent: usize) -> Self {
        match running.cmp(&silent) {
            std::cmp::Ordering::Greater => Self::Majority,
            std::cmp::Ordering::Equal => Self::Half,
            std::cmp::Ordering::Less => Self::Minority,
        }
    }
}

/// A query for credit, which also reports on the daemon that sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CreditQuery {
    /// Unused credit at the daemon.
    pub balance: f64,
    /// How much more credit it requests.
    pub amount: f64,
    /// Requests of the workspace that arrive there per second.
    pub demand: f64,
    /// Requests that it has admitted without credit since the last answer, while
    /// the coordinator was unreachable.
    pub local_admits: f64,
    /// The requests per second that it may admit by itself, as last received.
    pub share: f64,
}

/// The answer to a [`CreditQuery`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CreditGrant {
    /// Credit that is the daemon's from now on.
    pub credit: f64,
    /// The requests per second that it may admit by itself if disconnected.
    pub share: f64,
    /// Time until there is credit, if the daemon has none now.
    pub wait: Duration,
}

/// The credit and demand of one daemon, as of its last query.
#[derive(Clone, Copy, Debug)]
struct DaemonCredit {
    credit: f64,
    demand: f64,
    /// The larger of the share just granted and the one that the daemon had, since
    /// the answer may be lost.
    share: f64,
    /// 1 if the daemon was left without credit, else 0.
    shortage: f64,
    last_query: Instant,
}

/// The credit of one workspace, from which its coordinator makes grants.
///
/// If the coordinator falls silent, it may have stopped, or it may be cut off and still
/// grant what the others are not known to have. So its successor has the shares of the
/// daemons that query it, and no more, until the other is heard or known to have left.
/// The rest is then moved from the smaller side to the larger one as fast as reserved
/// shares decay.
#[derive(Debug)]
pub struct CreditBucket {
    available: f64,
    last_refill: Instant,
    daemons: HashMap<SocketAddr, DaemonCredit>,
    /// The daemon that coordinates.
    own: SocketAddr,
    standing: Standing,
    /// Since when the standing is that.
    standing_since: Instant,
    /// The sum of the shares that daemons brought, if a silent coordinator was replaced.
    inherited: Option<f64>,
}

impl CreditBucket {
    /// Creates the bucket of a workspace that this daemon has coordinated since
    /// `since` without a query so far.
    ///
    /// The grants of an earlier coordinator are unknown, so the bucket starts
    /// with little credit. It refills from `since`, up to the full burst.
    pub fn new(since: Instant, own: SocketAddr, tolerance: &RateTolerance) -> Self {
        Self {
            available: tolerance.initial_credit(),
            last_refill: since,
            daemons: HashMap::new(),
            own,
            standing: Standing::default(),
            standing_since: since,
            inherited: None,
        }
    }

    /// Creates the bucket of a workspace whose coordinator fell silent and may be cut off.
    pub fn take_over(now: Instant, own: SocketAddr, tolerance: &RateTolerance) -> Self {
        Self {
            inherited: Some(0.0),
            ..Self::new(now, own, tolerance)
        }
    }

    /// Returns whether this bucket replaces that of a silent coordinator.
    pub fn is_taken_over(&self) -> bool {
        self.inherited.is_some()
    }

    /// Grants the whole rate from now on: the earlier coordinator is known to have gone.
    pub fn own_rate(&mut self) {
        self.inherited = None;
    }

    /// Sets how many members the coordinator reaches.
    pub fn set_standing(&mut self, now: Instant, standing: Standing) {
        if self.standing != standing {
            self.standing = standing;
            self.standing_since = now;
        }
    }

    /// Grants credit to the daemon at `from`.
    pub fn grant(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
        from: SocketAddr,
        query: CreditQuery,
    ) -> CreditGrant {
        // The query replaces the estimate of its credit.
        let previous = self.daemons.remove(&from);
        self.refill(now, tolerance, limit, query.balance, previous);
        let standing = self.standing;
        let reserved_credit = match (previous, &mut self.inherited) {
            (Some(previous), _) => previous.reserved_credit(now, standing),
            (None, Some(inherited)) => {
                *inherited += query.share;
                // Admitted on the share that it brings, before this bucket has it.
                query.local_admits
            }
            (None, None) => 0.0,
        };
        // Admissions beyond its reserved credit are charged to the workspace.
        let unreserved = (query.local_admits - reserved_credit).max(0.0);
        self.available = (self.available - unreserved).max(-tolerance.max_debt(limit));
        let amount = query.amount.max(0.0);
        let max_grant = (self.available * MAX_GRANT_FRACTION).max(self.available.min(SMALL_GRANT));
        let credit = amount.min(max_grant).floor().max(0.0);
        self.available -= credit;
        let is_short = amount >= 1.0 && query.balance + credit < 1.0;
        let shortage = f64::from(u8::from(is_short));
        let rate = self.rate(now, tolerance, limit);
        let share = self.next_share(now, rate, rate * self.rate_share(query.demand), query.share);
        let daemon = DaemonCredit {
            credit: query.balance + credit,
            demand: query.demand,
            share: share.max(query.share),
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

    /// Returns the rate that this bucket may grant and reserve.
    fn rate(&self, now: Instant, tolerance: &RateTolerance, limit: RateLimit) -> f64 {
        tolerance.rate(limit) * self.owned_part(now, tolerance, limit)
    }

    /// Returns the part of the workspace's rate and capacity that this bucket has.
    fn owned_part(&self, now: Instant, tolerance: &RateTolerance, limit: RateLimit) -> f64 {
        let Some(inherited) = self.inherited else {
            return 1.0;
        };
        let rate = tolerance.rate(limit).max(f64::MIN_POSITIVE);
        let part = (inherited / rate).min(1.0);
        match self.standing {
            Standing::Majority => 1.0 - (1.0 - part) * self.standing_decay(now),
            Standing::Half => part,
            Standing::Minority => part * self.standing_decay(now),
        }
    }

    /// Returns the part of the unreserved rate that is granted: a coordinator that reaches
    /// few members may be cut off from one that grants the rest.
    fn granted_part(&self, now: Instant) -> f64 {
        match (self.inherited, self.standing) {
            (None, Standing::Minority) => self.standing_decay(now),
            _ => 1.0,
        }
    }

    fn standing_decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.standing_since);
        decay(age, SHARE_DECAY_TIME)
    }

    /// Returns the share of the rate for a daemon with `demand` requests per
    /// second: half of the rate is divided by demand, half equally among the
    /// daemons with any. A few requests predict little of what one of many
    /// daemons will need.
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

    /// Returns the next share of a daemon that has `held`, so that all shares add up
    /// to no more than the rate.
    ///
    /// A share near the fair one is kept: while an answer may be lost, the larger of
    /// the old and the new one is not free for others. The coordinator itself needs no
    /// promise, since it has what it has not promised to others.
    fn next_share(&self, now: Instant, rate: f64, fair: f64, held: f64) -> f64 {
        let others = self.daemons.iter().filter(|(from, _)| **from != self.own);
        let promised = others.map(|(_, other)| other.promised_rate(now, self.standing));
        let free = (rate - promised.sum::<f64>()).max(0.0);
        let is_near = held <= fair * SHARE_TOLERANCE && fair <= held * SHARE_TOLERANCE;
        if is_near && held <= free {
            held
        } else {
            fair.min(free)
        }
    }

    /// Returns whether the last query is so old that a new bucket would be
    /// equivalent.
    pub fn is_idle(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_refill) > FORGET_TIMEOUT
    }

    /// Adds the credit for the time since the last refill, less what is reserved
    /// for disconnected daemons.
    fn refill(
        &mut self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
        balance: f64,
        requester: Option<DaemonCredit>,
    ) {
        let age = now.saturating_duration_since(self.last_refill);
        self.last_refill = now;
        self.daemons
            .retain(|_, other| now.saturating_duration_since(other.last_query) < FORGET_TIMEOUT);
        let rate = self.rate(now, tolerance, limit);
        let reserved: f64 = self
            .daemons
            .values()
            .chain(&requester)
            .map(|other| other.reserved_rate(now, self.standing))
            .sum();
        let outstanding: f64 = self
            .daemons
            .values()
            .map(|other| other.outstanding(now, self.standing))
            .sum();
        let capacity = tolerance.capacity(limit) * self.owned_part(now, tolerance, limit);
        let room = (capacity - outstanding - balance).max(0.0);
        let granted = (rate - reserved).max(0.0) * self.granted_part(now);
        let added = granted * age.as_secs_f64();
        self.available = (self.available + added).min(room.max(1.0));
    }

    /// Returns when a daemon that was left without credit should ask again.
    fn retry_wait(
        &self,
        now: Instant,
        tolerance: &RateTolerance,
        limit: RateLimit,
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
        let rate = self.rate(now, tolerance, limit).max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(waiting_daemons / rate)
            .unwrap_or(MAX_WAIT)
            .clamp(MIN_WAIT, MAX_WAIT)
    }
}

impl DaemonCredit {
    /// Returns the most credit that the daemon may still have, granted or reserved.
    fn outstanding(&self, now: Instant, standing: Standing) -> f64 {
        let age = now.saturating_duration_since(self.last_query);
        let reserved = self.reserved_credit(now, standing);
        let unspent = reserved.min(self.share * LOCAL_BURST_SECS);
        if age >= OUTSTANDING_LIFETIME {
            unspent
        } else {
            self.credit + unspent
        }
    }

    /// Returns the credit reserved for the daemon since it may be disconnected.
    fn reserved_credit(&self, now: Instant, standing: Standing) -> f64 {
        let age = now.saturating_duration_since(self.last_query);
        if age < DISCONNECT_TIMEOUT {
            return 0.0;
        }
        if standing != Standing::Majority {
            return self.share * (age - DISCONNECT_TIMEOUT).as_secs_f64();
        }
        let decay_secs = SHARE_DECAY_TIME.as_secs_f64();
        self.share
            * decay_secs
            * (decay(DISCONNECT_TIMEOUT, SHARE_DECAY_TIME) - decay(age, SHARE_DECAY_TIME))
    }

    /// Returns the requests per second that it may be admitting by itself.
    fn reserved_rate(&self, now: Instant, standing: Standing) -> f64 {
        if now.saturating_duration_since(self.last_query) < DISCONNECT_TIMEOUT {
            return 0.0;
        }
        self.promised_rate(now, standing)
    }

    /// Returns the requests per second that it may admit by itself if disconnected. Those
    /// on the larger side of a partition keep their shares.
    fn promised_rate(&self, now: Instant, standing: Standing) -> f64 {
        if standing != Standing::Majority {
            return self.share;
        }
        let age = now.saturating_duration_since(self.last_query);
        self.share * decay(age, SHARE_DECAY_TIME)
    }
}
