//! Checks that make an estate of declarations, or say what is wrong.

use std::path::Path;

use serde_saphyr::Spanned;

use super::inventory::Inventory;
use super::rules::Rules;
use super::source::Errors;
use super::{Class, Estate, OnceSettings};
use crate::model::ClassName;

/// The two files that are checked together.
pub(super) struct Checker<'a> {
    pub(super) inventory_file: &'a Path,
    pub(super) rules_file: &'a Path,
    pub(super) errors: Errors,
}

impl Checker<'_> {
    /// Makes an estate of an inventory and rules.
    pub(super) fn estate(mut self, inventory: &Inventory, rules: &Rules) -> Result<Estate, Errors> {
        let centres = self.centres(&inventory.data_centres);
        let mut services = self.services(&inventory.services, &centres);
        self.cycles(&inventory.services);
        let classes = self.classes(&rules.classes);
        self.work(&rules.work, &mut services, &classes);
        let routes = self.routes(&rules.routes, &services, &classes);
        let callers = self.callers(&rules.callers, &classes);
        let workspaces = rules
            .workspaces
            .as_ref()
            .map(|entries| self.workspaces(entries, &classes));
        let once = OnceSettings {
            horizon: rules.once.horizon,
            retention: rules.once.retention,
            ledger_bytes: rules.once.ledger_bytes,
        };
        self.errors.into_result(Estate {
            centres,
            services,
            classes,
            routes,
            callers,
            workspaces,
            once,
        })
    }

    pub(super) fn inventory<T>(&mut self, at: &Spanned<T>, message: String) {
        self.errors.push_at(self.inventory_file, at, message);
    }

    pub(super) fn rules<T>(&mut self, at: &Spanned<T>, message: String) {
        self.errors.push_at(self.rules_file, at, message);
    }

    pub(super) fn known_class(&mut self, name: &Spanned<ClassName>, classes: &[Class]) {
        if classes.iter().any(|c| c.name == name.value) {
            return;
        }
        let known: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let message = format!(
            "class {} is not declared; known are {}",
            name.value,
            known.join(", ")
        );
        self.rules(name, message);
    }
}
