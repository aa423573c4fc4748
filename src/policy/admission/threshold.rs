//! The level below which a guard is shedding, computed from measured excess.

use std::time::Duration;

use tokio::time::Instant;

use crate::model::Level;

/// Shortest window over which arrivals are counted.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// Longest window, for guards that see few calls.
const MAX_WINDOW: Duration = Duration::from_millis(250);
/// Calls that make a window long enough.
const ENOUGH: u32 = 20;
/// Demand that is let through over the measured capacity, so that the queue
/// does not run dry.
const HEADROOM: f64 = 1.15;

/// Counts arrivals by level and sets the level that admits what can be served.
#[derive(Debug)]
pub struct Threshold {
    level: Level,
    arrivals: Box<[u32]>,
    arrived: u32,
    started: u32,
    shed: u32,
    opened: Instant,
    step: u16,
    excess: f64,
}

impl Threshold {
    /// Makes a threshold that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            level: Level::OPEN,
            arrivals: vec![0; Level::COUNT].into(),
            arrived: 0,
            started: 0,
            shed: 0,
            opened: now,
            step: 1,
            excess: 1.0,
        }
    }

    /// Counts an arrival.
    pub fn arrived(&mut self, level: Level) {
        self.arrivals[level.index()] += 1;
        self.arrived += 1;
    }

    /// Counts a call that was started.
    pub fn started(&mut self) {
        self.started += 1;
    }

    /// Counts a call that was shed for want of capacity.
    pub fn shed(&mut self) {
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
    pub fn tick(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.opened);
        let enough = self.started >= ENOUGH || age >= MAX_WINDOW;
        if age < MIN_WINDOW || !enough {
            return;
        }
        if self.shed > 0 {
            self.tighten();
        } else {
            self.relax();
        }
        self.arrivals.fill(0);
        self.arrived = 0;
        self.started = 0;
        self.shed = 0;
        self.opened = now;
    }

    fn tighten(&mut self) {
        let capacity = f64::from(self.started.max(1));
        self.excess = (f64::from(self.arrived) / capacity).max(1.0);
        self.step = 1;
        let want = capacity * HEADROOM;
        let mut sum = 0.0;
        let mut level = 0;
        for (index, count) in self.arrivals.iter().enumerate().rev() {
            sum += f64::from(*count);
            if sum > want {
                level = index as u32 + 1;
                break;
            }
        }
        self.level = Level::from_raw(level);
    }

    fn relax(&mut self) {
        self.excess = 1.0;
        let lowered = self.level.get().saturating_sub(self.step);
        self.level = Level::from_raw(u32::from(lowered));
        self.step = self.step.saturating_mul(2);
    }
}
