//! The weights by which workspaces share slot time.

use std::collections::HashMap;

use crate::model::{Rate, WorkspaceId};

/// Least and greatest weight. The lower bound keeps a workspace with a very low rate
/// from starving beside the others.
const WEIGHT_RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;
/// The weight of a workspace without a rate.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Weights of workspaces, in proportion to their declared rates.
///
/// The mean rate has the weight 1, as have workspaces without a rate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weights {
    by_id: HashMap<WorkspaceId, f64>,
}

impl Weights {
    /// Computes the weights of the workspaces that have a rate.
    pub fn new(rates: impl IntoIterator<Item = (WorkspaceId, Rate)>) -> Self {
        let rates: Vec<_> = rates.into_iter().collect();
        let sum: f64 = rates.iter().map(|(_, rate)| rate.get()).sum();
        let mean = (sum / rates.len() as f64).max(f64::MIN_POSITIVE);
        let weight =
            |rate: Rate| (rate.get() / mean).clamp(*WEIGHT_RANGE.start(), *WEIGHT_RANGE.end());
        let weights = rates.iter().map(|(id, rate)| (*id, weight(*rate)));
        Self {
            by_id: weights.collect(),
        }
    }

    /// Returns the weight of a workspace, or of calls without a workspace.
    pub fn of(&self, workspace: Option<WorkspaceId>) -> f64 {
        let weight = workspace.and_then(|id| self.by_id.get(&id));
        weight.copied().unwrap_or(DEFAULT_WEIGHT)
    }
}
