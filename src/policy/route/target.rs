//! One backend server as an entry knows it.

use std::time::Duration;

use tokio::time::Instant;

use super::LatencyRatio;
use crate::model::{CentreName, Demand, GuardNews, Instance, RankSet, Slots};
use crate::policy::admission::LastLevel;

/// How long a guard that was heard from is taken to be within reach. A guard
/// that stands idle in an estate at work is heard from a few times in this.
const REACHABLE_TIME: Duration = Duration::from_millis(300);
/// Weight of one call in the share of calls that a backend server refuses by
/// itself: some twenty calls make up the share.
const REJECT_WEIGHT: f64 = 0.05;
/// Load that a backend server counts as more if it refuses all calls. Twice
/// its slots keep nearly all calls away while another refuses none, and make
/// no difference where all refuse alike.
const REJECT_LOAD: f64 = 2.0;
/// Share of calls that a server fails by itself above which it is left out, if
/// others do better: it answers sooner than sound ones, and would draw more
/// calls the more it fails. Sound servers fail less than one in a hundred.
const MAX_FAULT_SHARE: f64 = 0.25;
/// Half-life of the faults that were heard: a server that is left out gets a
/// call of each entry about every second, whose answer tells how it fares now.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of a load that was heard on an answer.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Load from which a server counts as full: some answer slower from here on.
const FULL_LOAD: f64 = 0.9;

/// Whether calls may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes calls.
    Serving,
    /// It takes no new calls and finishes those it has.
    Leaving,
    /// Its data centre cannot be reached; it is not known to be gone.
    Unreachable,
}

/// One backend server: where it is, and its load as heard on answers.
#[derive(Clone, Debug)]
pub struct Target {
    /// The daemon that stands before it.
    pub instance: Instance,
    /// Its data centre.
    pub centre: CentreName,
    /// Whether calls may go to it.
    pub state: TargetState,
    /// Its slots by the inventory.
    pub slots: Slots,
    in_flight: u32,
    load: Option<(u32, Instant)>,
    level: LastLevel,
    downstream: LastLevel,
    classes: RankSet,
    /// When there is room below the rate that its server named, if it did.
    available_at: Option<Instant>,
    reject_share: f64,
    faults: Option<(f64, Instant)>,
    latency_ratio: LatencyRatio,
}

impl Target {
    /// Makes a target that nothing has been heard of.
    pub fn new(instance: Instance, centre: CentreName, slots: Slots) -> Self {
        Self {
            instance,
            centre,
            state: TargetState::Serving,
            slots,
            in_flight: 0,
            load: None,
            level: LastLevel::default(),
            downstream: LastLevel::default(),
            classes: RankSet::default(),
            available_at: None,
            reject_share: 0.0,
            faults: None,
            latency_ratio: LatencyRatio::default(),
        }
    }

    /// Takes over place, size and state from `news`, and keeps the load.
    pub fn update_from(&mut self, news: Self) {
        self.state = news.state;
        self.slots = news.slots;
        self.centre = news.centre;
    }

    /// Takes note of a call sent to it.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Takes note that a call sent to it has ended.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes note of what a guard told with an answer.
    pub fn record_status(&mut self, now: Instant, news: GuardNews) {
        self.load = Some((news.load, now));
        self.level.record(now, news.demand.level);
        self.downstream.record(now, news.demand.below);
        self.classes = news.demand.classes;
        self.faults = Some((news.faults.share(), now));
        let rate = news.told.and_then(|told| told.rate);
        self.available_at = rate.map(|_| now + news.room);
        if news.leaving {
            self.state = TargetState::Leaving;
        }
    }

    /// Returns how long a call waits there for the rate that its server named.
    pub fn rate_delay(&self, now: Instant) -> Duration {
        let available_at = self.available_at.unwrap_or(now);
        available_at.saturating_duration_since(now)
    }

    /// Tells whether a call goes to its server without a wait for its rate.
    pub fn has_rate_capacity(&self, now: Instant) -> bool {
        self.rate_delay(now).is_zero()
    }

    /// Takes note of whether its backend server refused a call by itself.
    pub fn record_rejection(&mut self, rejected: bool) {
        let sample = if rejected { 1.0 } else { 0.0 };
        self.reject_share += (sample - self.reject_share) * REJECT_WEIGHT;
    }

    /// Returns the share of calls that its backend server fails by itself; old
    /// news counts less.
    pub fn fault_share(&self, now: Instant) -> f64 {
        let known = self.faults.filter(|(share, _)| *share > 0.0);
        known.map_or(0.0, |(share, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            share * (-age / FAULT_HALF_LIFE.as_secs_f64()).exp2()
        })
    }

    /// Tells whether it is to be left out where another target has `least`
    /// faults.
    pub fn is_faulty(&self, now: Instant, min_fault_share: f64) -> bool {
        let fault_share = self.fault_share(now);
        fault_share >= MAX_FAULT_SHARE && fault_share >= min_fault_share * 2.0
    }

    /// Tells whether it was heard from just now, so that it can be taken to be
    /// within reach.
    pub fn has_recent_status(&self, now: Instant) -> bool {
        self.load
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < REACHABLE_TIME)
    }

    /// Tells whether the level that it demands was heard just now.
    pub fn has_fresh_level(&self, now: Instant) -> bool {
        self.level.is_fresh(now)
    }

    /// Returns the calls of this entry in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns what it demands of calls, as far as known; of protected classes
    /// only what is fresh.
    pub fn demand(&self, now: Instant, protected: bool) -> Demand {
        Demand {
            level: self.level.level(now, protected),
            below: self.downstream.level(now, protected),
            classes: self.classes,
        }
    }

    /// Estimates its load as a share of its slots; old news counts less.
    pub fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let known = self.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            f64::from(load) * (-age / LOAD_HALF_LIFE.as_secs_f64()).exp2()
        });
        own.max(known) / f64::from(self.slots.get()) + self.reject_share * REJECT_LOAD
    }

    /// Tells whether it has as much to do as it should.
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now) >= FULL_LOAD
    }

    /// Returns how fast it answers.
    pub fn latency_ratio(&self) -> &LatencyRatio {
        &self.latency_ratio
    }

    /// Returns how fast it answers, to be learned.
    pub(super) fn latency_ratio_mut(&mut self) -> &mut LatencyRatio {
        &mut self.latency_ratio
    }

    /// Returns what an answer is expected to take there, as a multiple of what
    /// it takes in the mean of the service's idle servers: its pace over its
    /// free share of slots, so that calls spread long before it is full.
    pub fn expected_latency(&self, now: Instant) -> f64 {
        let free = (1.0 - self.load(now)).max(1.0 - FULL_LOAD);
        self.latency_ratio.optimistic_ratio(now) / free
    }
}
