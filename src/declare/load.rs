//! Loading of a directory of declarations.

use std::path::Path;

use super::Estate;
use super::check::Checker;
use super::inventory::Inventory;
use super::rules::Rules;
use super::source::{Errors, read};
use crate::error::Error;

const INVENTORY: &str = "inventory.yaml";
const RULES: &str = "rules.yaml";

/// Loads and checks `inventory.yaml` and `rules.yaml` of a directory.
///
/// # Errors
///
/// Returns every mistake found, with file, line and what to write instead.
pub fn load(dir: &Path) -> Result<Estate, Errors> {
    let inventory_file = dir.join(INVENTORY);
    let rules_file = dir.join(RULES);
    let mut errors = Errors::default();
    let inventory: Option<Inventory> = keep(&mut errors, read(&inventory_file));
    let rules: Option<Rules> = keep(&mut errors, read(&rules_file));
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
    checker.estate(&inventory, &rules)
}

fn keep<T>(errors: &mut Errors, result: Result<T, Error>) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(error) => {
            errors.push(error);
            None
        }
    }
}
