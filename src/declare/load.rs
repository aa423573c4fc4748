//! Loading of declarations from a directory.

use std::path::Path;

use super::Estate;
use super::check::Checker;
use super::inventory::Inventory;
use super::rules::Rules;
use super::source::{Errors, read};
use crate::error::Error;

const INVENTORY_FILE: &str = "inventory.yaml";
const RULES_FILE: &str = "rules.yaml";

/// Loads and validates `inventory.yaml` and `rules.yaml` in `dir`.
///
/// # Errors
///
/// Returns all errors found, each with its file, line and a correction.
pub fn load(dir: &Path) -> Result<Estate, Errors> {
    let inventory_file = dir.join(INVENTORY_FILE);
    let rules_file = dir.join(RULES_FILE);
    let mut errors = Errors::default();
    let inventory: Option<Inventory> = collect_error(&mut errors, read(&inventory_file));
    let rules: Option<Rules> = collect_error(&mut errors, read(&rules_file));
    let (Some(inventory), Some(rules)) = (inventory, rules) else {
        return Err(errors);
    };
    if rules.classes.is_empty() {
        errors.push(Error::input(
            &rules_file,
            0,
            "no class is declared; write at least one under classes",
        ));
        return Err(errors);
    }
    let checker = Checker {
        inventory_file: &inventory_file,
        rules_file: &rules_file,
        errors,
    };
    checker.build_estate(&inventory, &rules)
}

fn collect_error<T>(errors: &mut Errors, result: Result<T, Error>) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            errors.push(error);
            None
        }
    }
}
