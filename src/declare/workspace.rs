//! Workspaces, which callers identify by an API key.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::model::{ClassName, KeyDigest, Rate, WorkspaceName};

/// The rate limit of a workspace, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: Rate,
    /// Requests that may exceed the rate at once.
    pub burst: u32,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its rate limit; unlimited if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
    /// Classes that replace others for its requests.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub classes: BTreeMap<ClassName, ClassName>,
}

/// All workspaces, looked up by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspaces {
    all: Vec<Workspace>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<WorkspaceName, usize>,
}

impl Workspaces {
    /// Creates the lookup tables. A key that two workspaces share belongs to the first.
    pub fn new(all: Vec<Workspace>) -> Self {
        let mut by_key = HashMap::new();
        for (index, workspace) in all.iter().enumerate() {
            for key in &workspace.keys {
                by_key.entry(*key).or_insert(index);
            }
        }
        let names = all.iter().map(|workspace| workspace.name.clone());
        let by_name = names.enumerate().map(|(index, name)| (name, index));
        Self {
            by_name: by_name.collect(),
            by_key,
            all,
        }
    }

    /// Returns all workspaces.
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_key.get(key).map(|index| &self.all[*index])
    }

    /// Returns a workspace by name.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.by_name.get(name).map(|index| &self.all[*index])
    }
}
