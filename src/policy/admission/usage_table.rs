//! What each workspace had of the slots, for the operator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::WorkspaceId;

/// Workspaces that are counted; what has had the least makes way for another.
const MOST: usize = 64;
/// Workspaces that are shown.
const SHOWN: usize = 16;

/// What one workspace had of the slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slot time of its calls.
    pub time: Duration,
    /// Calls that were shed.
    pub shed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: Usage,
    told: Usage,
}

/// What each workspace had of the slots; the greatest only.
#[derive(Debug, Default)]
pub struct UsageTable {
    counts: BTreeMap<Option<WorkspaceId>, Count>,
}

impl UsageTable {
    /// Counts slot time.
    pub fn add_time(&mut self, workspace: Option<WorkspaceId>, time: Duration) {
        self.count(workspace).all.time += time;
    }

    /// Counts a call that was shed.
    pub fn count_shed(&mut self, workspace: Option<WorkspaceId>) {
        self.count(workspace).all.shed += 1;
    }

    fn count(&mut self, workspace: Option<WorkspaceId>) -> &mut Count {
        if self.counts.len() >= MOST && !self.counts.contains_key(&workspace) {
            let all = self.counts.iter();
            let least = all.min_by_key(|(_, count)| (count.all.time, count.all.shed));
            if let Some(least) = least.map(|(id, _)| *id) {
                self.counts.remove(&least);
            }
        }
        self.counts.entry(workspace).or_default()
    }

    /// Returns the workspaces with most slot time, the greatest first.
    pub fn top(&self) -> Vec<(Option<WorkspaceId>, Usage)> {
        let all = self.counts.iter().map(|(id, count)| (*id, count.all));
        first_by_time(all.collect())
    }

    /// Returns the same of the time since it was last asked.
    pub fn take_recent(&mut self) -> Vec<(Option<WorkspaceId>, Usage)> {
        let lately = self.counts.iter_mut().map(|(id, count)| {
            let told = std::mem::replace(&mut count.told, count.all);
            let usage = Usage {
                time: count.all.time.saturating_sub(told.time),
                shed: count.all.shed.saturating_sub(told.shed),
            };
            (*id, usage)
        });
        first_by_time(lately.collect())
    }
}

fn first_by_time(
    mut usages: Vec<(Option<WorkspaceId>, Usage)>,
) -> Vec<(Option<WorkspaceId>, Usage)> {
    usages.sort_by_key(|(_, usage)| std::cmp::Reverse((usage.time, usage.shed)));
    usages.truncate(SHOWN);
    usages
}
