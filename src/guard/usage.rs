//! Usage of this guard's slots by workspace name.

use std::collections::HashMap;

use super::{Guard, Usages};
use crate::declare::Workspaces;
use crate::metrics::WorkspaceRow;
use crate::model::WorkspaceId;
use crate::policy::admission::Weights;

/// Returns the weights of the workspaces that have a rate limit.
pub(super) fn weights(workspaces: &Workspaces) -> Weights {
    let rates = workspaces.all().iter().filter_map(|workspace| {
        let limit = workspace.limit?;
        Some((WorkspaceId::of(&workspace.name), limit.rate))
    });
    Weights::new(rates)
}

impl Guard {
    /// Returns the workspaces that used most slot time, if it is shared.
    pub fn usages(&self) -> Vec<WorkspaceRow> {
        self.workspace_rows(self.gate.usages())
    }

    /// Returns the workspaces that used most slot time since the last call of this
    /// method.
    pub fn take_recent_usages(&self) -> Vec<WorkspaceRow> {
        self.workspace_rows(self.gate.take_recent_usages())
    }

    fn workspace_rows(&self, usages: Usages) -> Vec<WorkspaceRow> {
        if usages.is_empty() {
            return Vec::new();
        }
        let in_force = self.shared.current.get();
        let declared = in_force.as_ref().and_then(|f| f.estate.workspaces.as_ref());
        let declared = declared.map_or(&[][..], Workspaces::all).iter();
        let names: HashMap<_, _> = declared
            .map(|workspace| (WorkspaceId::of(&workspace.name), workspace.name.as_str()))
            .collect();
        let name = |id: Option<WorkspaceId>| match id {
            Some(id) => names.get(&id).map_or(id.to_string(), ToString::to_string),
            None => String::new(),
        };
        let rows = usages.into_iter().map(|(id, usage)| WorkspaceRow {
            name: name(id).into(),
            time: usage.time,
            shed: usage.shed,
        });
        rows.collect()
    }
}
