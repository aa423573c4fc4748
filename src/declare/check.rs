//! Validation of declarations and construction of the estate.

use std::path::Path;

use serde_saphyr::Spanned;

use super::inventory::Inventory;
use super::rules::Rules;
use super::source::Errors;
use super::{Class, Estate, OnceSettings};
use crate::model::ClassName;

/// Validates the inventory and the rules, and collects the errors found in both files.
pub(super) struct Checker<'a> {
    pub(super) inventory_file: &'a Path,
    pub(super) rules_file: &'a Path,
    pub(super) errors: Errors,
}

impl Checker<'_> {
    /// Builds the estate from the inventory and the rules.
    pub(super) fn build_estate(
        mut self,
        inventory: &Inventory,
        rules: &Rules,
    ) -> Result<Estate, Errors> {
        let centres = self.check_centres(&inventory.data_centres);
        let mut services = self.check_services(&inventory.services, &centres);
        self.check_cycles(&inventory.services);
        let classes = self.check_classes(&rules.classes);
        self.assign_work(&rules.work, &mut services, &classes);
        let routes = self.check_routes(&rules.routes, &services, &classes);
        let callers = self.check_callers(&rules.callers, &classes);
        let workspaces = rules
            .workspaces
            .as_ref()
            .map(|entries| self.check_workspaces(entries, &classes));
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

    pub(super) fn inventory_error<T>(&mut self, at: &Spanned<T>, message: String) {
        self.errors.push_at(self.inventory_file, at, message);
    }

    pub(super) fn rules_error<T>(&mut self, at: &Spanned<T>, message: String) {
        self.errors.push_at(self.rules_file, at, message);
    }

    pub(super) fn check_class(&mut self, name: &Spanned<ClassName>, classes: &[Class]) {
        if classes.iter().any(|c| c.name == name.value) {
            return;
        }
        let known: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
        let message = format!(
            "class {} is not declared; known are {}",
            name.value,
            known.join(", ")
        );
        self.rules_error(name, message);
    }
}
