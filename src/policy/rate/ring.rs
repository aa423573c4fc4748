//! The choice of the daemon that coordinates a workspace.

use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::model::{Instance, WorkspaceName};
use crate::policy::member::{MemberState, View};

/// Points of each member on the ring; several points spread the workspaces
/// about evenly over the members.
const POINTS_PER_MEMBER: u64 = 8;

/// The members by consistent hashing: when one joins or leaves, only the
/// workspaces next to its points get another coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HashRing {
    points: Vec<(u64, Instance)>,
}

impl HashRing {
    /// Creates the ring of the members of a view that run and are not leaving.
    ///
    /// An unreachable member stays on it until the neighbour that watches it marks
    /// it silent; daemons disconnected from it admit requests by themselves
    /// meanwhile.
    pub fn new(view: &View) -> Self {
        Self::of(staying(view))
    }

    /// Creates the ring of the same members and of those that fell silent after `since`:
    /// the coordinators of before, unless they left.
    pub fn with_silent(view: &View, since: Instant) -> Self {
        Self::of(staying(view).chain(view.silent_after(since)))
    }

    fn of(members: impl Iterator<Item = Instance>) -> Self {
        let mut points: Vec<(u64, Instance)> = members.flat_map(member_points).collect();
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

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }
}

/// Returns the members that run and are not leaving.
fn staying(view: &View) -> impl Iterator<Item = Instance> + '_ {
    let members = view.members();
    let staying = members.filter(|member| member.state < MemberState::Leaving);
    staying.map(|member| member.instance)
}

/// Returns the points of a member. They depend on its address only, so that a
/// restarted daemon has the same ones.
fn member_points(instance: Instance) -> impl Iterator<Item = (u64, Instance)> {
    let address = instance.address.to_string();
    (0..POINTS_PER_MEMBER)
        .map(move |point| (xxh3_64_with_seed(address.as_bytes(), point), instance))
}
