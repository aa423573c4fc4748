//! State of one backend server as seen by an entry.

use std::time::Duration;

use tokio::time::Instant;

use super::LatencyRatio;
use crate::model::{CentreName, DemandedLevels, GuardStatus, Instance, RankSet, Slots};
use crate::policy::admission::LastLevel;

/// Time after a status in which a guard counts as reachable. Even an idle guard
/// in a busy estate sends its status a few times in this period.
const REACHABLE_TIME: Duration = Duration::from_millis(300);
/// Weight of one call in the share of calls that a backend server refuses by
/// itself; the share spans about twenty calls.
const REJECT_WEIGHT: f64 = 0.05;
/// Load that is added to a backend server that refuses all calls. Twice its slots
/// keep nearly all calls away while another refuses none, and make no difference
/// where all refuse equally.
const REJECT_LOAD: f64 = 2.0;
/// Share of calls that a server fails by itself above which it is avoided if
/// others do better. It answers sooner than healthy servers and would draw more
/// calls the more it fails; healthy servers fail less than one in a hundred.
const MAX_FAULT_SHARE: f64 = 0.25;
/// Half-life of a reported fault share. An avoided server gets a call from each
/// entry about every second, whose answer updates the share.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of a load that was reported with an answer.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Load from which a server counts as full; some answer slower from here on.
const FULL_LOAD: f64 = 0.9;

/// Whether calls may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts calls.
    Serving,
    /// Accepts no new calls and finishes those in flight.
    Leaving,
    /// Its data centre cannot be reached; the server may still be running.
    Unreachable,
}

/// One backend server: its location and state, and its load as reported with
/// answers.
#[derive(Clone, Debug)]
pub struct Target {
    /// Daemon in front of it.
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
    /// When it has rate capacity again, if its server sets a rate limit.
    available_at: Option<Instant>,
    reject_share: f64,
    faults: Option<(f64, Instant)>,
    latency_ratio: LatencyRatio,
}

impl Target {
    /// Creates a target without any reported state.
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

    /// Takes location, slots and state from `updated` and keeps the rest.
    pub fn update_from(&mut self, updated: Self) {
        self.state = updated.state;
        self.slots = updated.slots;
        self.centre = updated.centre;
    }

    /// Records a call sent to it.
    pub fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a call sent to it.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the status that its guard sent with an answer.
    pub fn record_status(&mut self, now: Instant, status: GuardStatus) {
        self.load = Some((status.load, now));
        self.level.record(now, status.demand.level);
        self.downstream.record(now, status.demand.downstream);
        self.classes = status.demand.downstream_classes;
        self.faults = Some((status.fault_share.share(), now));
        let rate = status.notice.and_then(|told| told.rate);
        self.available_at = rate.map(|_| now + status.rate_delay);
        if status.leaving {
            self.state = TargetState::Leaving;
        }
    }

    /// Returns how long a call waits there for the server's rate limit.
    pub fn rate_delay(&self, now: Instant) -> Duration {
        let available_at = self.available_at.unwrap_or(now);
        available_at.saturating_duration_since(now)
    }

    /// Returns whether a call starts there without waiting for the rate limit.
    pub fn has_rate_capacity(&self, now: Instant) -> bool {
        self.rate_delay(now).is_zero()
    }

    /// Records whether its backend server refused a call by itself.
    pub fn record_rejection(&mut self, rejected: bool) {
        let sample = if rejected { 1.0 } else { 0.0 };
        self.reject_share += (sample - self.reject_share) * REJECT_WEIGHT;
    }

    /// Returns the share of calls that its backend server fails by itself,
    /// decayed by age.
    pub fn fault_share(&self, now: Instant) -> f64 {
        let known = self.faults.filter(|(share, _)| *share > 0.0);
        known.map_or(0.0, |(share, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            share * (-age / FAULT_HALF_LIFE.as_secs_f64()).exp2()
        })
    }

    /// Returns whether it should be avoided, given the smallest fault share of
    /// any target.
    pub fn is_faulty(&self, now: Instant, min_fault_share: f64) -> bool {
        let fault_share = self.fault_share(now);
        fault_share >= MAX_FAULT_SHARE && fault_share >= min_fault_share * 2.0
    }

    /// Returns whether it sent its status recently, so that it counts as
    /// reachable.
    pub fn has_recent_status(&self, now: Instant) -> bool {
        self.load
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < REACHABLE_TIME)
    }

    /// Returns whether its demanded level is fresh.
    pub fn has_fresh_level(&self, now: Instant) -> bool {
        self.level.is_fresh(now)
    }

    /// Returns the number of this entry's calls in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns what it demands of calls, as last known; for protected classes
    /// only fresh levels count.
    pub fn demand(&self, now: Instant, protected: bool) -> DemandedLevels {
        DemandedLevels {
            level: self.level.level(now, protected),
            downstream: self.downstream.level(now, protected),
            downstream_classes: self.classes,
        }
    }

    /// Estimates its load as a share of its slots; a reported load decays with
    /// age.
    pub fn load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let known = self.load.map_or(0.0, |(load, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            f64::from(load) * (-age / LOAD_HALF_LIFE.as_secs_f64()).exp2()
        });
        own.max(known) / f64::from(self.slots.get()) + self.reject_share * REJECT_LOAD
    }

    /// Returns whether its load counts as full.
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now) >= FULL_LOAD
    }

    /// Returns its latency ratio.
    pub fn latency_ratio(&self) -> &LatencyRatio {
        &self.latency_ratio
    }

    /// Returns its latency ratio for an update.
    pub(super) fn latency_ratio_mut(&mut self) -> &mut LatencyRatio {
        &mut self.latency_ratio
    }

    /// Returns the expected time of an answer as a multiple of the mean of the
    /// service's idle servers: its latency ratio over its free share of slots, so
    /// that calls spread long before it is full.
    pub fn expected_latency(&self, now: Instant) -> f64 {
        let free = (1.0 - self.load(now)).max(1.0 - FULL_LOAD);
        self.latency_ratio.optimistic_ratio(now) / free
    }
}
