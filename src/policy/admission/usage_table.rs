//! Slot time and shed calls by workspace, for the operator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::WorkspaceId;

/// Workspaces that are counted; the one with the least usage is dropped for a new one.
const MAX_WORKSPACES: usize = 64;
/// Workspaces that are reported.
const TOP_WORKSPACES: usize = 16;

/// The slot time and shed calls of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slot time of its calls.
    pub time: Duration,
    /// Calls that were shed.
    pub shed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: Usage,
    reported: Usage,
}

/// The usage by workspace, limited to those that use most.
#[derive(Debug, Default)]
pub struct UsageTable {
    counts: BTreeMap<Option<WorkspaceId>, Count>,
}

impl UsageTable {
    /// Adds slot time.
    pub fn add_time(&mut self, workspace: Option<WorkspaceId>, time: Duration) {
        self.count(workspace).total.time += time;
    }

    /// Counts a call that was shed.
    pub fn count_shed(&mut self, workspace: Option<WorkspaceId>) {
        self.count(workspace).total.shed += 1;
    }

    fn count(&mut self, workspace: Option<WorkspaceId>) -> &mut Count {
        if self.counts.len() >= MAX_WORKSPACES && !self.counts.contains_key(&workspace) {
            let all = self.counts.iter();
            let least = all.min_by_key(|(_, count)| (count.total.time, count.total.shed));
            if let Some(least) = least.map(|(id, _)| *id) {
                self.counts.remove(&least);
            }
        }
        self.counts.entry(workspace).or_default()
    }

    /// Returns the workspaces with most slot time, the greatest first.
    pub fn top(&self) -> Vec<(Option<WorkspaceId>, Usage)> {
        let all = self.counts.iter().map(|(id, count)| (*id, count.total));
        top_by_time(all.collect())
    }

    /// Returns the same for the time since the last call of this method.
    pub fn take_recent(&mut self) -> Vec<(Option<WorkspaceId>, Usage)> {
        let lately = self.counts.iter_mut().map(|(id, count)| {
            let reported = std::mem::replace(&mut count.reported, count.total);
            let usage = Usage {
                time: count.total.time.saturating_sub(reported.time),
                shed: count.total.shed.saturating_sub(reported.shed),
            };
            (*id, usage)
        });
        top_by_time(lately.collect())
    }
}

fn top_by_time(mut usages: Vec<(Option<WorkspaceId>, Usage)>) -> Vec<(Option<WorkspaceId>, Usage)> {
    usages.sort_by_key(|(_, usage)| std::cmp::Reverse((usage.time, usage.shed)));
    usages.truncate(TOP_WORKSPACES);
    usages
}
