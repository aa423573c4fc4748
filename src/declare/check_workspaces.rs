//! Checks of workspaces.

use std::collections::{BTreeMap, BTreeSet};

use super::check::Checker;
use super::rules::WorkspaceEntry;
use super::{Class, RateLimit, Workspace, Workspaces};
use crate::model::KeyDigest;

impl Checker<'_> {
    pub(super) fn workspaces(
        &mut self,
        entries: &[WorkspaceEntry],
        classes: &[Class],
    ) -> Workspaces {
        let mut names = BTreeSet::new();
        let mut owners = BTreeMap::new();
        let mut all = Vec::new();
        for entry in entries {
            let name = &entry.name.value;
            if !names.insert(name) {
                self.rules(&entry.name, format!("workspace {name} stands twice"));
            }
            for class in entry.classes.values() {
                self.known_class(class, classes);
            }
            let keys = self.keys(entry, &mut owners);
            all.push(Workspace {
                name: name.clone(),
                keys,
                limit: self.limit(entry),
                classes: entry
                    .classes
                    .iter()
                    .map(|(from, to)| (from.clone(), to.value.clone()))
                    .collect(),
            });
        }
        Workspaces::new(all)
    }

    /// Reads the keys of a workspace. No message shows a key.
    fn keys<'e>(
        &mut self,
        entry: &'e WorkspaceEntry,
        owners: &mut BTreeMap<KeyDigest, &'e str>,
    ) -> Vec<KeyDigest> {
        let name = entry.name.value.as_str();
        let mut keys = Vec::new();
        for key in &entry.keys {
            let text = key.value.trim();
            if text.is_empty() {
                let message = format!("workspace {name} has an empty key; write one or remove it");
                self.rules(key, message);
                continue;
            }
            let digest = KeyDigest::of(text.as_bytes());
            match owners.insert(digest, name) {
                Some(other) if other != name => {
                    let message = format!(
                        "a key of workspace {name} is also one of {other}; give each its own"
                    );
                    self.rules(key, message);
                }
                Some(_) | None => keys.push(digest),
            }
        }
        keys
    }

    fn limit(&mut self, entry: &WorkspaceEntry) -> Option<RateLimit> {
        let name = &entry.name.value;
        match (entry.rate, &entry.burst) {
            (Some(rate), burst) => Some(RateLimit {
                rate,
                burst: burst.as_ref().map_or(0, |burst| burst.value),
            }),
            (None, Some(burst)) => {
                let message =
                    format!("workspace {name} has a burst without a rate; write rate: 100/s");
                self.rules(burst, message);
                None
            }
            (None, None) => None,
        }
    }
}
