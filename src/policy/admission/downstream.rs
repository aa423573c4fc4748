//! The levels that downstream services impose on this one.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::LastLevel;
use super::class_shares::ClassShares;
use crate::model::{ClassRank, DemandedLevels, Level, RankSet, ServiceName};

/// The outcome of an onward call to another service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnwardOutcome {
    /// The service.
    pub service: ServiceName,
    /// The levels that the service demands at present.
    pub demand: DemandedLevels,
    /// Whether the service refused the call.
    pub refused: bool,
    /// Whether the call failed, by refusal or otherwise.
    pub failed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLevels {
    /// The level of the service itself.
    level: LastLevel,
    /// The level of services downstream of it, and the classes that it applies to.
    downstream: LastLevel,
    classes: RankSet,
    /// Classes whose last refused call failed.
    needed_by: RankSet,
    /// The share of each class's calls that use the service.
    callers: ClassShares,
}

/// Tracks the level below which calls would fail downstream.
///
/// Each answer to an onward call carries the levels that the called service demands.
/// They apply to a class only if many of its calls use the service, and only since a
/// refusal by the service made one of them fail, until one is answered in spite of a
/// refusal. Calls that don't depend on the service are thus not refused.
#[derive(Debug, Default)]
pub struct DownstreamLevels {
    services: BTreeMap<ServiceName, ServiceLevels>,
}

impl DownstreamLevels {
    /// Records the onward outcomes of a call of `rank`, and whether it was answered.
    pub fn record(
        &mut self,
        now: Instant,
        rank: ClassRank,
        outcomes: &[OnwardOutcome],
        answered: bool,
    ) {
        for (service, levels) in &mut self.services {
            let called = outcomes.iter().any(|outcome| outcome.service == *service);
            levels.callers.record(rank, called);
        }
        for outcome in outcomes {
            if let Some(levels) = self.services.get_mut(&outcome.service) {
                levels.record(now, rank, outcome, answered);
            } else {
                let levels = self.services.entry(outcome.service.clone()).or_default();
                levels.callers.record(rank, true);
                levels.record(now, rank, outcome, answered);
            }
        }
    }

    /// Returns the level that is demanded of a class.
    pub fn level(&self, now: Instant, rank: ClassRank, protected: bool) -> Level {
        self.services
            .values()
            .map(|levels| levels.level(now, rank, protected))
            .max()
            .unwrap_or_default()
    }

    /// Returns the highest level that any service demands, and of which classes.
    pub fn highest(&self, now: Instant) -> (Level, RankSet) {
        self.services
            .values()
            .map(|levels| levels.highest(now))
            .max_by_key(|(level, _)| *level)
            .unwrap_or_default()
    }
}

impl ServiceLevels {
    fn record(&mut self, now: Instant, rank: ClassRank, outcome: &OnwardOutcome, answered: bool) {
        self.level.record(now, outcome.demand.level);
        self.downstream.record(now, outcome.demand.downstream);
        self.classes = outcome.demand.downstream_classes;
        if outcome.refused {
            self.needed_by.set(rank, !answered);
        }
    }

    fn level(&self, now: Instant, rank: ClassRank, protected: bool) -> Level {
        if !self.dependents().contains(rank) {
            return Level::ADMIT_ALL;
        }
        let own = self.level.level(now, protected);
        if self.classes.contains(rank) {
            own.max(self.downstream.level(now, protected))
        } else {
            own
        }
    }

    /// Returns the classes that depend on the service.
    fn dependents(&self) -> RankSet {
        self.needed_by.intersection(self.callers.frequent())
    }

    fn highest(&self, now: Instant) -> (Level, RankSet) {
        let dependents = self.dependents();
        let own = self.level.level(now, false);
        let downstream = self.downstream.level(now, false);
        if downstream > own {
            (downstream, dependents.intersection(self.classes))
        } else {
            (own, dependents)
        }
    }
}
