//! Which version of the configuration is in force at one daemon.

use crate::model::Version;

/// What to do about a version that was heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDecision {
    /// Fetch it and put it in force.
    Apply,
    /// It is in force already.
    Same,
    /// It is older than what is in force; it is never taken.
    Older,
}

/// The version in force, which only grows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rollout {
    current: Version,
}

impl Rollout {
    /// Returns the version in force.
    pub fn current(&self) -> Version {
        self.current
    }

    /// Decides on a version that was heard of.
    pub fn decide(&self, version: Version) -> VersionDecision {
        match version.cmp(&self.current) {
            std::cmp::Ordering::Greater => VersionDecision::Apply,
            std::cmp::Ordering::Equal => VersionDecision::Same,
            std::cmp::Ordering::Less => VersionDecision::Older,
        }
    }

    /// Takes note that `version` is in force; returns whether it was newer.
    pub fn advance(&mut self, version: Version) -> bool {
        let newer = version > self.current;
        self.current = self.current.max(version);
        newer
    }
}
