//! Which daemon coordinates a workspace.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::model::{Instance, WorkspaceName};
use crate::policy::member::{MemberState, View};

/// Places of each member, so that the members coordinate about as many
/// workspaces each.
const POINTS_PER_MEMBER: u64 = 8;

/// The members in order of their hashes. When one comes or goes, only the
/// workspaces next to its places change hands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HashRing {
    points: Vec<(u64, Instance)>,
}

impl HashRing {
    /// Makes the ring of the members of a view that run and stay.
    ///
    /// A member that cannot be reached stays on it until its watcher calls it
    /// silent: whoever is cut off from it goes on by itself meanwhile.
    pub fn new(view: &View) -> Self {
        let is_staying = |state| state < MemberState::Leaving;
        let mut points: Vec<(u64, Instance)> = view
            .members()
            .filter(|member| is_staying(member.state))
            .flat_map(|member| member_points(member.instance))
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns the member that coordinates a workspace.
    pub fn coordinator(&self, workspace: &WorkspaceName) -> Option<Instance> {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        let next = self.points.partition_point(|(point, _)| *point < hash);
        let found = self.points.get(next).or_else(|| self.points.first());
        found.map(|(_, instance)| *instance)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.points.len() / POINTS_PER_MEMBER as usize
    }

    /// Tells whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }
}

/// A run that takes the place of another at its address has the same places.
fn member_points(instance: Instance) -> impl Iterator<Item = (u64, Instance)> {
    let address = instance.address.to_string();
    (0..POINTS_PER_MEMBER)
        .map(move |point| (xxh3_64_with_seed(address.as_bytes(), point), instance))
}
