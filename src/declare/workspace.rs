//! Workspaces: who calls, known by an API key.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::model::{ClassName, KeyDigest, Rate, WorkspaceName};

/// How many requests a workspace may make, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: Rate,
    /// Requests at once, on top.
    pub burst: u32,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// How many requests it may make; any number if not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
    /// Classes that its requests have in place of others.
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
    /// Makes the table of all workspaces. A key that two of them have is the
    /// first one's.
    pub fn new(all: Vec<Workspace>) -> Self {
        let mut by_key = HashMap::new();
        for (place, workspace) in all.iter().enumerate() {
            for key in &workspace.keys {
                by_key.entry(*key).or_insert(place);
            }
        }
        let names = all.iter().map(|workspace| workspace.name.clone());
        let by_name = names.enumerate().map(|(place, name)| (name, place));
        Self {
            by_name: by_name.collect(),
            by_key,
            all,
        }
    }

    /// Returns all of them.
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_key.get(key).map(|place| &self.all[*place])
    }

    /// Returns a workspace by name.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.by_name.get(name).map(|place| &self.all[*place])
    }
}
