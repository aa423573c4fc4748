//! The level that services further down a chain impose on this one.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::LastLevel;
use super::class_shares::ClassShares;
use crate::model::{ClassRank, Demand, Level, RankSet, ServiceName};

/// What a call met at a service that it called onwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnwardOutcome {
    /// The service.
    pub service: ServiceName,
    /// What it demands now.
    pub demand: Demand,
    /// Whether it refused.
    pub refused: bool,
    /// Whether the call ended badly, by refusal or otherwise.
    pub failed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceLevels {
    level: LastLevel,
    downstream: LastLevel,
    classes: RankSet,
    needed_by: RankSet,
    callers: ClassShares,
}

/// Learns below which level calls would fail further down.
///
/// Each answer to an onward call tells what the service called demands now.
/// It counts for a class only if many of its calls call the service, once one
/// of them has failed since the service refused, and until one was answered all
/// the same; so work that does not depend on the refusing service goes on.
#[derive(Debug, Default)]
pub struct DownstreamLevels {
    services: BTreeMap<ServiceName, ServiceLevels>,
}

impl DownstreamLevels {
    /// Takes note of what a call of `rank` met, and how it ended.
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

    /// Returns the highest level that any service demands, and of whom.
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
        self.downstream.record(now, outcome.demand.below);
        self.classes = outcome.demand.classes;
        if outcome.refused {
            self.needed_by.set(rank, !answered);
        }
    }

    fn level(&self, now: Instant, rank: ClassRank, protected: bool) -> Level {
        if !self.dependents().contains(rank) {
            return Level::OPEN;
        }
        let own = self.level.level(now, protected);
        if self.classes.contains(rank) {
            own.max(self.downstream.level(now, protected))
        } else {
            own
        }
    }

    /// Returns the classes that cannot do without the service.
    fn dependents(&self) -> RankSet {
        self.needed_by.both(self.callers.frequent())
    }

    fn highest(&self, now: Instant) -> (Level, RankSet) {
        let dependents = self.dependents();
        let own = self.level.level(now, false);
        let downstream = self.downstream.level(now, false);
        if downstream > own {
            (downstream, dependents.both(self.classes))
        } else {
            (own, dependents)
        }
    }
}
