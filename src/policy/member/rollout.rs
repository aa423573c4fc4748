//! The configuration version in force at one daemon.

use crate::model::Version;

/// How to handle a version learned from a neighbour or the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDecision {
    /// Fetch and apply it.
    Apply,
    /// It is in force already.
    Same,
    /// It is older than the version in force and is never applied.
    Older,
}

/// The version in force, which only increases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rollout {
    current: Version,
}

impl Rollout {
    /// Returns the version in force.
    pub fn current(&self) -> Version {
        self.current
    }

    /// Decides how to handle a version.
    pub fn decide(&self, version: Version) -> VersionDecision {
        match version.cmp(&self.current) {
            std::cmp::Ordering::Greater => VersionDecision::Apply,
            std::cmp::Ordering::Equal => VersionDecision::Same,
            std::cmp::Ordering::Less => VersionDecision::Older,
        }
    }

    /// Records that `version` is in force; returns whether it was newer.
    pub fn advance(&mut self, version: Version) -> bool {
        let newer = version > self.current;
        self.current = self.current.max(version);
        newer
    }
}
