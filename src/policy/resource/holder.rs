//! Connections that hold memory.

use std::net::IpAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that must move before a connection counts as moving; fewer keep a connection
/// alive at no cost to the other end.
const PROGRESS_BYTES: usize = 16 * 1024;
/// Added to the time without progress, so that of two connections which move alike the
/// one that holds more goes first.
const MIN_STALL: Duration = Duration::from_millis(1);

/// Identifies a connection in a [`ResourceTable`](super::ResourceTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(pub(super) u64);

/// Who connects; each group has connections of its own, so that none can take those of
/// the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionGroup {
    /// Callers, and the own backend server with its onward calls.
    Callers,
    /// Other daemons.
    Peers,
    /// The platform, scrapers, and the own backend server with its announcements.
    Platform,
}

impl ConnectionGroup {
    /// Number of groups.
    pub(super) const COUNT: usize = 3;

    pub(super) const fn index(self) -> usize {
        match self {
            Self::Callers => 0,
            Self::Peers => 1,
            Self::Platform => 2,
        }
    }
}

/// The side of a connection that has to act next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The other end: it sends, or reads what is sent to it.
    Remote,
    /// This daemon, or a server that it waits for.
    Own,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request that has not run.
    Request,
    /// An answer, whose request has run.
    Answer,
}

/// A connection and what it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) group: ConnectionGroup,
    pub(super) address: IpAddr,
    /// Memory that is held for it, in bytes.
    pub(super) bytes: usize,
    pub(super) waits_for: Side,
    /// When it last moved, or began to wait for the other end.
    moved_at: Instant,
    /// Bytes moved since then.
    moved: usize,
    /// Whether it is evicted; it counts until it has closed.
    pub(super) is_evicted: bool,
}

impl Holder {
    pub(super) fn new(now: Instant, group: ConnectionGroup, address: IpAddr, bytes: usize) -> Self {
        Self {
            group,
            address,
            bytes,
            waits_for: Side::Remote,
            moved_at: now,
            moved: 0,
            is_evicted: false,
        }
    }

    pub(super) fn record_moved(&mut self, now: Instant, bytes: usize) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            self.moved_at = now;
            self.moved = 0;
        }
    }

    pub(super) fn wait_for(&mut self, now: Instant, side: Side) {
        if side == Side::Remote && self.waits_for == Side::Own {
            self.moved_at = now;
            self.moved = 0;
        }
        self.waits_for = side;
    }

    /// Returns whether it may be evicted: only the other end holds it up.
    pub(super) fn is_evictable(&self) -> bool {
        self.waits_for == Side::Remote && !self.is_evicted
    }

    /// Returns by how much memory, for how long without progress, it holds others up, if
    /// it held `more` bytes and its address had `connections`.
    pub(super) fn cost(&self, now: Instant, more: usize, connections: usize) -> f64 {
        let stalled = match self.waits_for {
            Side::Remote => now.saturating_duration_since(self.moved_at) + MIN_STALL,
            Side::Own => MIN_STALL,
        };
        (self.bytes + more) as f64 * stalled.as_secs_f64() * connections as f64
    }
}
