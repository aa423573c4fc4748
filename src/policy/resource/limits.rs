//! Limits on what a daemon holds for others.

use super::holder::{ConnectionGroup, Purpose};

/// Share of the memory that may be held for others. The rest is for the daemon itself,
/// for freed memory that the allocator keeps, and for what sockets have received.
const HELD_SHARE: f64 = 0.4;
/// Share of that for requests. Answers have room of their own, since their requests have
/// run.
const REQUEST_SHARE: f64 = 0.625;
/// Share of that for requests and answers. The rest is for connections that hold little.
const ANSWER_SHARE: f64 = 0.875;
/// What a connection may hold to count as one that holds little, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Descriptors for files and listeners.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for each group; the rest is for connections to backend
/// servers, other daemons and the platform.
const CALLER_SHARE: f64 = 0.5;
const PEER_SHARE: f64 = 0.25;
const PLATFORM_SHARE: f64 = 0.05;

/// What a daemon may hold for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory, in bytes.
    bytes: usize,
    /// Connections by group.
    connections: [usize; ConnectionGroup::COUNT],
}

impl ResourceLimits {
    /// No limits.
    pub const NONE: Self = Self {
        bytes: usize::MAX,
        connections: [usize::MAX; ConnectionGroup::COUNT],
    };

    /// Returns the limits on a VM with `memory` bytes for the daemon, which may have
    /// `descriptors` open.
    pub fn new(memory: u64, descriptors: usize) -> Self {
        let files = FILE_DESCRIPTORS.min(descriptors / 2);
        let sockets = (descriptors - files) as f64;
        let shares = [CALLER_SHARE, PEER_SHARE, PLATFORM_SHARE];
        Self {
            bytes: (memory as f64 * HELD_SHARE) as usize,
            connections: shares.map(|share| (sockets * share) as usize),
        }
    }

    /// Returns the memory that may be held for others, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many connections a group may have.
    pub const fn connections(&self, group: ConnectionGroup) -> usize {
        self.connections[group.index()]
    }

    /// Returns how much memory may be held in all once one that holds `held` bytes, for
    /// this purpose, has its share.
    pub(super) fn bytes_for(&self, purpose: Purpose, held: usize) -> usize {
        let share = match purpose {
            _ if held <= SMALL_BYTES => 1.0,
            Purpose::Request => REQUEST_SHARE,
            Purpose::Answer => ANSWER_SHARE,
        };
        (self.bytes as f64 * share) as usize
    }
}
