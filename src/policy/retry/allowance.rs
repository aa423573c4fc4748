//! Limit on the retries of one service in any window of a few seconds.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::window::EventWindow;
use crate::model::{Level, RootId};

/// Fraction of the estate's allowance for the retries themselves. The rest
/// covers the downstream calls that a retried call makes again.
const DIRECT_FRACTION: f64 = 0.75;
/// Time over which unused retries accumulate.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Smallest capacity for unused retries; without it a daemon that sends few
/// calls could never retry one.
const MIN_BURST_RETRIES: f64 = 1.5;
/// Time in which the number of open levels shrinks by a factor of e while no
/// retries are left. Call trees last about a second; if the levels changed much
/// faster, daemons would choose other trees each time.
const LEVEL_ADJUST_TIME: Duration = Duration::from_millis(300);
/// Fewest levels that stay open: about one call tree in thirty of the most
/// urgent class.
const MIN_OPEN_LEVELS: f64 = (Level::STEPS / 32) as f64;
/// How long a call tree that got a retry is remembered; requests last up to six
/// seconds.
const TREE_MEMORY_TIME: Duration = Duration::from_secs(6);
/// Most call trees that are remembered.
const MAX_TREES: usize = 4096;

/// The retries that an estate allows, over all its daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Retries as a share of the calls to a service.
    pub share: f64,
    /// Length of the sliding window in which both are counted.
    pub window: Duration,
}

impl Default for AllowanceSettings {
    /// A fifth of the calls, in any ten seconds.
    fn default() -> Self {
        Self {
            share: 0.2,
            window: Duration::from_secs(10),
        }
    }
}

/// Permits retries at a rate that follows from the calls of the last window.
///
/// If more are requested than allowed, the call trees of the highest levels get
/// them, and a tree that got one keeps getting them. The level is derived from
/// the root call, so that all daemons choose the same trees and a tree gets all
/// the retries it needs or none: with a few retries for each of many trees, most
/// of them would fail anyway.
#[derive(Debug)]
pub struct Allowance {
    settings: AllowanceSettings,
    call_window: EventWindow,
    tokens: f64,
    last_refill: Option<Instant>,
    /// How many levels get retries, counted from the highest.
    open_levels: f64,
    /// Call trees that got a retry, and when.
    trees: HashMap<RootId, Instant>,
}

impl Allowance {
    /// Creates an allowance without accumulated retries.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            call_window: EventWindow::new(settings.window),
            tokens: 0.0,
            last_refill: None,
            open_levels: Level::COUNT as f64,
            trees: HashMap::new(),
        }
    }

    /// Records the first attempt at a call.
    pub fn record_call(&mut self, now: Instant) {
        self.call_window.add(now);
        self.refill(now);
    }

    /// Takes one retry for a call of `level` in the call tree of `root`, if it
    /// may have one.
    pub fn try_take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        self.refill(now);
        let needed_levels = (Level::COUNT - level.index()) as f64;
        let is_admitted = self.trees.contains_key(&root);
        if !is_admitted && needed_levels > self.open_levels {
            return false;
        }
        if self.tokens < 1.0 {
            // No retry is left even at this level, so lower levels are closed.
            self.open_levels = self.open_levels.min(needed_levels.max(MIN_OPEN_LEVELS));
            return false;
        }
        self.tokens -= 1.0;
        self.record_tree(now, root);
        true
    }

    /// Adds the retries for the time since the last refill, and opens levels if
    /// more than half of the capacity is left or closes some if less is.
    fn refill(&mut self, now: Instant) {
        let rate = self.call_window.rate(now) * self.settings.share * DIRECT_FRACTION;
        let since = self.last_refill.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST_RETRIES);
        self.tokens = (self.tokens + rate * age).min(capacity);
        let balance = self.tokens / capacity * 2.0 - 1.0;
        let adjusted = self.open_levels * (balance * age / LEVEL_ADJUST_TIME.as_secs_f64()).exp();
        self.open_levels = adjusted.clamp(MIN_OPEN_LEVELS, Level::COUNT as f64);
    }

    fn record_tree(&mut self, now: Instant, root: RootId) {
        if self.trees.len() >= MAX_TREES {
            self.trees
                .retain(|_, at| now.saturating_duration_since(*at) < TREE_MEMORY_TIME);
        }
        if self.trees.len() < MAX_TREES {
            self.trees.insert(root, now);
        }
    }
}
