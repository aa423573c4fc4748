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
struct Below {
    level: LastLevel,
    below: LastLevel,
    classes: RankSet,
    depends: RankSet,
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
    services: BTreeMap<ServiceName, Below>,
}

impl DownstreamLevels {
    /// Takes note of what a call of `rank` met, and how it ended.
    pub fn record(&mut self, now: Instant, rank: ClassRank, met: &[OnwardOutcome], answered: bool) {
        for (service, below) in &mut self.services {
            let called = met.iter().any(|one| one.service == *service);
            below.callers.record(rank, called);
        }
        for one in met {
            if let Some(below) = self.services.get_mut(&one.service) {
                below.record(now, rank, one, answered);
            } else {
                let below = self.services.entry(one.service.clone()).or_default();
                below.callers.record(rank, true);
                below.record(now, rank, one, answered);
            }
        }
    }

    /// Returns the level that is demanded of a class.
    pub fn level(&self, now: Instant, rank: ClassRank, protected: bool) -> Level {
        self.services
            .values()
            .map(|below| below.level(now, rank, protected))
            .max()
            .unwrap_or_default()
    }

    /// Returns the highest level that any service demands, and of whom.
    pub fn highest(&self, now: Instant) -> (Level, RankSet) {
        self.services
            .values()
            .map(|below| below.highest(now))
            .max_by_key(|(level, _)| *level)
            .unwrap_or_default()
    }
}

impl Below {
    fn record(&mut self, now: Instant, rank: ClassRank, met: &OnwardOutcome, answered: bool) {
        self.level.record(now, met.demand.level);
        self.below.record(now, met.demand.below);
        self.classes = met.demand.classes;
        if met.refused {
            self.depends.set(rank, !answered);
        }
    }

    fn level(&self, now: Instant, rank: ClassRank, protected: bool) -> Level {
        if !self.dependents().contains(rank) {
            return Level::OPEN;
        }
        let own = self.level.level(now, protected);
        if self.classes.contains(rank) {
            own.max(self.below.level(now, protected))
        } else {
            own
        }
    }

    /// Returns the classes that cannot do without the service.
    fn dependents(&self) -> RankSet {
        self.depends.both(self.callers.frequent())
    }

    fn highest(&self, now: Instant) -> (Level, RankSet) {
        let depends = self.dependents();
        let own = self.level.level(now, false);
        let below = self.below.level(now, false);
        if below > own {
            (below, depends.both(self.classes))
        } else {
            (own, depends)
        }
    }
}
