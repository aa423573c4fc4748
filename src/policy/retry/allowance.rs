//! Retries of one service within what an estate allows in any few seconds.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::window::Window;
use crate::model::{Level, RootId};

/// Part of the estate's allowance that retries use by themselves. The rest is
/// for the calls that are made by calls that were themselves retried.
const OWN_PART: f64 = 0.75;
/// Time over which retries that were not used can be saved up.
const SAVED: Duration = Duration::from_millis(500);
/// Fewest retries that can be saved up; a daemon that sends few calls could
/// otherwise never retry one.
const MIN_SAVED: f64 = 1.5;
/// Time in which the open part of the levels shrinks by e when no retries are
/// left. Trees of calls last about a second; daemons whose levels moved much
/// faster would choose other trees each time.
const TURN: Duration = Duration::from_millis(300);
/// Fewest levels that stay open: one tree in thirty of the most urgent class.
const MIN_OPEN: f64 = (Level::STEPS / 32) as f64;
/// How long a tree that got a retry is remembered; the users' requests last up
/// to six seconds.
const REMEMBERED: Duration = Duration::from_secs(6);
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
    asked: Window,
    tokens: f64,
    filled: Option<Instant>,
    /// How many levels get retries, counted from the highest.
    open: f64,
    trees: HashMap<RootId, Instant>,
}

impl Allowance {
    /// Makes an allowance of which nothing is saved up.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            asked: Window::new(settings.window),
            tokens: 0.0,
            filled: None,
            open: Level::COUNT as f64,
            trees: HashMap::new(),
        }
    }

    /// Takes note of a call that is made for the first time.
    pub fn asked(&mut self, now: Instant) {
        self.asked.add(now);
        self.fill(now);
    }

    /// Takes one retry out for a call of `level` in the tree of `root`, if
    /// there is one for it.
    pub fn take(&mut self, now: Instant, level: Level, root: RootId) -> bool {
        self.fill(now);
        let below = (Level::COUNT - level.index()) as f64;
        let known = self.trees.contains_key(&root);
        if !known && below > self.open {
            return false;
        }
        if self.tokens < 1.0 {
            // What is open has no use below the levels that ask.
            self.open = self.open.min(below.max(MIN_OPEN));
            return false;
        }
        self.tokens -= 1.0;
        self.remember(now, root);
        true
    }

    /// Adds what the time since the last filling allows, and opens or closes
    /// levels as much or little is saved up.
    fn fill(&mut self, now: Instant) {
        let rate = self.asked.rate(now) * self.settings.share * OWN_PART;
        let since = self.filled.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let most = (rate * SAVED.as_secs_f64()).max(MIN_SAVED);
        self.tokens = (self.tokens + rate * age).min(most);
        let lean = self.tokens / most * 2.0 - 1.0;
        let turned = self.open * (lean * age / TURN.as_secs_f64()).exp();
        self.open = turned.clamp(MIN_OPEN, Level::COUNT as f64);
    }

    fn remember(&mut self, now: Instant, root: RootId) {
        if self.trees.len() >= MAX_TREES {
            self.trees
                .retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED);
        }
        if self.trees.len() < MAX_TREES {
            self.trees.insert(root, now);
        }
    }
}
