//! The level below which a guard sheds calls, derived from arrivals and capacity.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// Shortest window over which arrivals are counted.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Longest window, for guards that receive few calls.
const MAX_WINDOW: Duration = Duration::from_millis(250);
/// Longest window while the backend server has requested a rate, as few calls start
/// then.
const RATE_LIMITED_WINDOW: Duration = Duration::from_secs(1);
/// Started calls that are enough to close a window.
const WINDOW_CALLS: u32 = 20;
/// Demand to admit as a multiple of the measured capacity; above 1, so that the
/// queue does not run empty.
const DEMAND_RATIO: f64 = 1.05;
/// Share of the queue's distance from half full that one window corrects.
const QUEUE_CORRECTION: f64 = 0.2;
/// Factor by which the counts of earlier windows decay at each new one.
const COUNT_DECAY: f64 = 0.5;
/// Count below which a level is dropped: one arrival, ten windows ago.
const MIN_COUNT: f64 = 1.0 / 1024.0;
/// Least number of levels that the size of an opening step is based on.
const MIN_BAND: usize = Level::STEPS / 64;
/// Greatest opening step as a share of the open levels of a class.
const OPEN_SHARE: f64 = 0.25;
/// The same while demand is far below capacity.
const FAST_OPEN_SHARE: f64 = 4.0;
/// Share of the target below which demand counts as far below capacity.
const LOW_DEMAND_SHARE: f64 = 0.6;

/// The state of the wait queue when a window closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Queued calls.
    pub waiting: usize,
    /// Calls that the queue holds at most.
    pub max_waiting: usize,
    /// Whether the queue is empty and a call could start at once.
    pub idle: bool,
    /// Whether the backend server has requested a rate.
    pub rate_limited: bool,
}

/// Counts arrivals by level and sets the level that admits what can be served.
///
/// The level aims at a queue that is half full: slots don't idle, and few calls are
/// shed here after other services have already spent work on them.
#[derive(Debug)]
pub struct Threshold {
    level: Level,
    /// Decayed arrival counts of the levels with recent arrivals. It is walked
    /// whenever a window closes; a window holds some tens of calls, so it has far
    /// fewer entries than there are levels.
    arrivals: BTreeMap<usize, f64>,
    window_weight: f64,
    arrival_count: u32,
    start_count: u32,
    shed_count: u32,
    window_start: Instant,
    excess: f64,
}

impl Threshold {
    /// Creates a threshold that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            level: Level::ADMIT_ALL,
            arrivals: BTreeMap::new(),
            window_weight: 0.0,
            arrival_count: 0,
            start_count: 0,
            shed_count: 0,
            window_start: now,
            excess: 1.0,
        }
    }

    /// Counts an arrival.
    pub fn record_arrival(&mut self, level: Level) {
        *self.arrivals.entry(level.index()).or_default() += 1.0;
        self.arrival_count += 1;
    }

    /// Counts a started call.
    pub fn record_start(&mut self) {
        self.start_count += 1;
    }

    /// Counts a call that was shed for lack of capacity.
    pub fn record_shed(&mut self) {
        self.shed_count += 1;
    }

    /// Returns the level below which calls are shed.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Returns the measured demand as a multiple of capacity, at least 1.
    pub fn excess(&self) -> f64 {
        self.excess
    }

    /// Closes the window if it is long enough and updates the level.
    pub fn tick(&mut self, now: Instant, backlog: Backlog) {
        let age = now.saturating_duration_since(self.window_start);
        let idle = backlog.idle && self.shed_count == 0;
        let longest = if backlog.rate_limited {
            RATE_LIMITED_WINDOW
        } else {
            MAX_WINDOW
        };
        let enough = self.start_count >= WINDOW_CALLS || age >= longest || idle;
        if age < MIN_WINDOW || !enough {
            return;
        }
        self.window_weight = self.window_weight * COUNT_DECAY + 1.0;
        if self.level > Level::ADMIT_ALL || self.shed_count > 0 {
            self.adjust(backlog);
        }
        let capacity = f64::from(self.start_count.max(1));
        self.excess = if self.shed_count > 0 {
            (f64::from(self.arrival_count) / capacity).max(1.0)
        } else {
            1.0
        };
        self.arrivals.retain(|_, count| {
            *count *= COUNT_DECAY;
            *count >= MIN_COUNT
        });
        self.arrival_count = 0;
        self.start_count = 0;
        self.shed_count = 0;
        self.window_start = now;
    }

    fn adjust(&mut self, backlog: Backlog) {
        let room = backlog.max_waiting as f64 / 2.0 - backlog.waiting as f64;
        let target =
            (f64::from(self.start_count) * DEMAND_RATIO + room * QUEUE_CORRECTION).max(1.0);
        let offered = self.offered();
        if offered > target {
            if self.shed_count > 0 {
                self.level = self.level_admitting(target).max(self.level);
            }
            return;
        }
        let raw = f64::from(self.level.get()) - self.opening_step(target, offered, backlog.idle);
        self.level = Level::from_raw(raw.max(0.0) as u32);
    }

    /// Returns how many levels to open so that about `target` calls are offered.
    ///
    /// Arrivals below the level can't be observed. They are assumed to be as dense
    /// as those above it in the same class, and steps are bounded.
    fn opening_step(&self, target: f64, offered: f64, idle: bool) -> f64 {
        let low = self.level.index();
        let open = self.level.next_class_start() - low;
        let share = if idle && offered < target * LOW_DEMAND_SHARE {
            FAST_OPEN_SHARE
        } else {
            OPEN_SHARE
        };
        let most = (open.max(MIN_BAND) as f64 * share).max(1.0);
        let density = self.arrivals_in(low..self.level.next_class_start()) / open as f64;
        if density <= 0.0 || (idle && offered < target * LOW_DEMAND_SHARE) {
            return most;
        }
        ((target - offered) / density).clamp(1.0, most)
    }

    /// Returns the mean arrivals of a window at or above the level.
    fn offered(&self) -> f64 {
        self.arrivals_in(self.level.index()..Level::COUNT)
    }

    /// Returns the mean arrivals of a window at the given levels.
    fn arrivals_in(&self, levels: Range<usize>) -> f64 {
        let sum: f64 = self.arrivals.range(levels).map(|(_, count)| count).sum();
        sum / self.window_weight
    }

    /// Returns the lowest level that admits no more than `target` calls a window.
    fn level_admitting(&self, target: f64) -> Level {
        let mut sum = 0.0;
        for (index, count) in self.arrivals.iter().rev() {
            sum += count / self.window_weight;
            if sum > target {
                return Level::from_raw(*index as u32 + 1);
            }
        }
        Level::ADMIT_ALL
    }
}
