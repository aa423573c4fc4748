//! Retries of one service within what an estate allows in any few seconds.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::window::EventWindow;
use crate::model::{Level, RootId};

/// Part of the estate's allowance that retries use by themselves. The rest is
/// for the calls that are made by calls that were themselves retried.
const DIRECT_FRACTION: f64 = 0.75;
/// Time over which retries that were not used can be saved up.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Fewest retries that can be saved up; a daemon that sends few calls could
/// otherwise never retry one.
const MIN_BURST_RETRIES: f64 = 1.5;
/// Time in which the open part of the levels shrinks by e when no retries are
/// left. Trees of calls last about a second; daemons whose levels moved much
/// faster would choose other trees each time.
const LEVEL_ADJUST_TIME: Duration = Duration::from_millis(300);
/// Fewest levels that stay open: one tree in thirty of the most urgent class.
const MIN_OPEN_LEVELS: f64 = (Level::STEPS / 32) as f64;
/// How long a tree that got a retry is remembered; the users' requests last up
/// to six seconds.
const TREE_MEMORY_TIME: Duration = Duration::from_secs(6);
/// Most trees that are remembered.
const MAX_TREES: usize = 4096;

/// What an estate allows of retries, over all its daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceSettings {
    /// Retries as a share of the calls of a service.
    pub share: f64,
    /// The time over which both are counted; any span of that length.
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

/// Gives leave for retries at the rate that the calls of the last window allow.
///
/// Where more are wanted than allowed, those go to the trees of calls whose
/// level is highest, and a tree that got one is not dropped later. The level is
/// made of the root, so that all daemons choose the same trees and a tree gets
/// all the retries it needs or none: a few retries for each of many trees would
/// let most of them fail all the same.
#[derive(Debug)]
pub struct Allowance {
    settings: AllowanceSettings,
    call_window: EventWindow,
    tokens: f64,
    last_refill: Option<Instant>,
    /// How many levels get retries, counted from the highest.
    open_levels: f64,
    trees: HashMap<RootId, Instant>,
}

impl Allowance {
    /// Makes an allowance of which nothing is saved up.
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

    /// Takes note of a call that is made for the first time.
    pub fn record_call(&mut self, now: Instant) {
        self.call_window.add(now);
        self.refill(now);
    }

    /// Takes one retry out for a call of `level` in the tree of `root`, if
    /// there is one for it.
    pub fn try_take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        self.refill(now);
        let needed_levels = (Level::COUNT - level.index()) as f64;
        let is_admitted = self.trees.contains_key(&root);
        if !is_admitted && needed_levels > self.open_levels {
            return false;
        }
        if self.tokens < 1.0 {
            // What is open has no use below the levels that ask.
            self.open_levels = self.open_levels.min(needed_levels.max(MIN_OPEN_LEVELS));
            return false;
        }
        self.tokens -= 1.0;
        self.record_tree(now, root);
        true
    }

    /// Adds what the time since the last filling allows, and opens or closes
    /// levels as much or little is saved up.
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
