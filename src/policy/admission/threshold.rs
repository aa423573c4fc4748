//! The level below which a guard is shedding, computed from measured excess.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// Shortest window over which arrivals are counted.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Longest window, for guards that see few calls.
const MAX_WINDOW: Duration = Duration::from_millis(250);
/// The same where the backend server has named a rate, by which few calls start.
const LIMITED_WINDOW: Duration = Duration::from_secs(1);
/// Calls that make a window long enough.
const ENOUGH: u32 = 20;
/// Demand that is let through over the measured capacity, so that the queue
/// does not run dry.
const HEADROOM: f64 = 1.05;
/// Share of the queue's distance from half full that one window makes up.
const CATCH_UP: f64 = 0.2;
/// What is left of the counts of earlier windows.
const MEMORY: f64 = 0.5;
/// Count of a level below which it is forgotten: one arrival, ten windows ago.
const FORGOTTEN: f64 = 1.0 / 1024.0;
/// Fewest levels of which the density of arrivals is judged, and most that
/// are opened at once when nothing is known.
const BAND: usize = Level::STEPS / 64;
/// Share by which the open part of a class may grow at once: in a balance,
/// and when far less is offered than can be served.
const GROW: f64 = 0.25;
const GROW_FAST: f64 = 4.0;
/// Share of the capacity below which far less is offered.
const FAR_LESS: f64 = 0.6;

/// The state of the queue when a window closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Calls that wait.
    pub waiting: usize,
    /// Calls that may wait.
    pub bound: usize,
    /// Whether slots were free just now.
    pub idle: bool,
    /// Whether calls start at a rate that the backend server named.
    pub limited: bool,
}

/// Counts arrivals by level and sets the level that admits what can be served.
///
/// The level aims at a queue that is half full: then slots never idle, and
/// little is shed here that others have worked for.
#[derive(Debug)]
pub struct Threshold {
    level: Level,
    /// Arrivals by level, of those levels at which calls arrived lately. A
    /// window holds some tens of calls, so this is far shorter than all levels;
    /// it is gone through whenever a window closes.
    arrivals: BTreeMap<usize, f64>,
    weight: f64,
    arrived: u32,
    started: u32,
    shed: u32,
    opened: Instant,
    excess: f64,
}

impl Threshold {
    /// Makes a threshold that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            level: Level::OPEN,
            arrivals: BTreeMap::new(),
            weight: 0.0,
            arrived: 0,
            started: 0,
            shed: 0,
            opened: now,
            excess: 1.0,
        }
    }

    /// Counts an arrival.
    pub fn record_arrival(&mut self, level: Level) {
        *self.arrivals.entry(level.index()).or_default() += 1.0;
        self.arrived += 1;
    }

    /// Counts a call that was started.
    pub fn record_start(&mut self) {
        self.started += 1;
    }

    /// Counts a call that was shed for want of capacity.
    pub fn record_shed(&mut self) {
        self.shed += 1;
    }

    /// Returns the level below which calls are being shed.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns the measured demand as a multiple of capacity, at least 1.
    pub fn excess(&self) -> f64 {
        self.excess
    }

    /// Closes the window if it is long enough and sets the level anew.
    pub fn tick(&mut self, now: Instant, backlog: Backlog) {
        let age = now.saturating_duration_since(self.opened);
        let idle = backlog.idle && self.shed == 0;
        let longest = if backlog.limited {
            LIMITED_WINDOW
        } else {
            MAX_WINDOW
        };
        let enough = self.started >= ENOUGH || age >= longest || idle;
        if age < MIN_WINDOW || !enough {
            return;
        }
        self.weight = self.weight * MEMORY + 1.0;
        if self.level > Level::OPEN || self.shed > 0 {
            self.adjust(backlog);
        }
        let capacity = f64::from(self.started.max(1));
        self.excess = if self.shed > 0 {
            (f64::from(self.arrived) / capacity).max(1.0)
        } else {
            1.0
        };
        self.arrivals.retain(|_, count| {
            *count *= MEMORY;
            *count >= FORGOTTEN
        });
        self.arrived = 0;
        self.started = 0;
        self.shed = 0;
        self.opened = now;
    }

    fn adjust(&mut self, backlog: Backlog) {
        let room = backlog.bound as f64 / 2.0 - backlog.waiting as f64;
        let want = (f64::from(self.started) * HEADROOM + room * CATCH_UP).max(1.0);
        let offered = self.offered();
        if offered > want {
            if self.shed > 0 {
                self.level = self.level_admitting(want).max(self.level);
            }
            return;
        }
        let raw = f64::from(self.level.get()) - self.step(want, offered, backlog.idle);
        self.level = Level::from_raw(raw.max(0.0) as u32);
    }

    /// Returns how many levels to open so that about `want` is offered.
    ///
    /// What stands below the level is not seen; it is taken to be as dense as
    /// what stands above in the same class, and opened in bounded steps.
    fn step(&self, want: f64, offered: f64, idle: bool) -> f64 {
        let low = self.level.index();
        let open = self.level.class_end() - low;
        let share = if idle && offered < want * FAR_LESS {
            GROW_FAST
        } else {
            GROW
        };
        let most = (open.max(BAND) as f64 * share).max(1.0);
        let density = self.between(low..self.level.class_end()) / open as f64;
        if density <= 0.0 || (idle && offered < want * FAR_LESS) {
            return most;
        }
        ((want - offered) / density).clamp(1.0, most)
    }

    /// Returns the arrivals of one window at or above the level.
    fn offered(&self) -> f64 {
        self.between(self.level.index()..Level::COUNT)
    }

    /// Returns the arrivals of one window at some levels.
    fn between(&self, levels: Range<usize>) -> f64 {
        let sum: f64 = self.arrivals.range(levels).map(|(_, count)| count).sum();
        sum / self.weight
    }

    fn level_admitting(&self, want: f64) -> Level {
        let mut sum = 0.0;
        for (index, count) in self.arrivals.iter().rev() {
            sum += count / self.weight;
            if sum > want {
                return Level::from_raw(*index as u32 + 1);
            }
        }
        Level::OPEN
    }
}
