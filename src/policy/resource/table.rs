//! The account of memory and connections of one daemon.

use std::collections::HashMap;
use std::net::IpAddr;

use tokio::time::Instant;

use super::holder::{ConnectionGroup, Holder, HolderId, Purpose, Side};
use super::limits::ResourceLimits;

/// Memory of an open connection, in bytes: its task, and its buffers while they are small.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Divides a limit: so much more may belong to evicted connections that have not closed
/// yet.
const LEAVING_DIVISOR: usize = 8;
/// Divides the memory: one connection may hold so much of it.
const CONNECTION_DIVISOR: usize = 8;

/// Nothing more can be held, and there is nobody to evict for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The account of memory and connections of one daemon.
///
/// When it is full, connections are evicted: those that hold most memory for longest
/// without moving, many of one address before few. Ones that wait for this daemon stay.
#[derive(Debug)]
pub struct ResourceTable {
    limits: ResourceLimits,
    holders: HashMap<HolderId, Holder>,
    /// Connections by address.
    addresses: HashMap<IpAddr, usize>,
    /// Connections by group.
    connections: [usize; ConnectionGroup::COUNT],
    /// Those of them that are evicted.
    leaving_connections: [usize; ConnectionGroup::COUNT],
    /// Memory that is held, in bytes.
    used: usize,
    /// Part of it that belongs to evicted connections.
    leaving: usize,
    /// Evicted connections that were not notified.
    evicted: Vec<HolderId>,
    next_id: u64,
}

impl ResourceTable {
    /// Creates an empty account.
    pub fn new(limits: ResourceLimits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            addresses: HashMap::new(),
            connections: [0; ConnectionGroup::COUNT],
            leaving_connections: [0; ConnectionGroup::COUNT],
            used: 0,
            leaving: 0,
            evicted: Vec::new(),
            next_id: 0,
        }
    }

    /// Returns the memory that is held, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of connections of a group.
    pub fn connections(&self, group: ConnectionGroup) -> usize {
        self.connections[group.index()]
    }

    /// Returns the connections that were evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<HolderId> {
        std::mem::take(&mut self.evicted)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn open(
        &mut self,
        now: Instant,
        group: ConnectionGroup,
        address: IpAddr,
    ) -> Result<HolderId, Full> {
        let (index, limit) = (group.index(), self.limits.connections(group));
        let leaving = self.leaving_connections[index];
        if leaving > max_leaving(limit) {
            return Err(Full);
        }
        if self.connections[index] - leaving >= limit && !self.evict_one(now, group) {
            return Err(Full);
        }
        self.make_room(now, None, CONNECTION_BYTES, self.limits.bytes())?;
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder::new(now, group, address, CONNECTION_BYTES);
        self.holders.insert(id, holder);
        *self.addresses.entry(address).or_default() += 1;
        self.connections[index] += 1;
        self.used += CONNECTION_BYTES;
        Ok(id)
    }

    /// Removes a connection that has closed, with all that is held for it.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.used -= holder.bytes;
        self.connections[holder.group.index()] -= 1;
        if holder.is_evicted {
            self.leaving -= holder.bytes;
            self.leaving_connections[holder.group.index()] -= 1;
        }
        if let Some(count) = self.addresses.get_mut(&holder.address) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&holder.address);
            }
        }
    }

    /// Holds `bytes` more for a connection, or for none.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them, or if the connection itself is evicted.
    pub fn hold(
        &mut self,
        now: Instant,
        id: Option<HolderId>,
        bytes: usize,
        purpose: Purpose,
    ) -> Result<(), Full> {
        let holder = id.and_then(|id| self.holders.get(&id));
        if id.is_some() && holder.is_none_or(|holder| holder.is_evicted) {
            return Err(Full);
        }
        let held = holder
            .map_or(0, |holder| holder.bytes)
            .saturating_add(bytes);
        if id.is_some() && held > self.limits.bytes() / CONNECTION_DIVISOR {
            return Err(Full);
        }
        let limit = self.limits.bytes_for(purpose, held);
        self.make_room(now, id, bytes, limit)?;
        if let Some(holder) = id.and_then(|id| self.holders.get_mut(&id)) {
            holder.bytes += bytes;
        }
        self.used += bytes;
        Ok(())
    }

    /// Releases `bytes` that were held for a connection, or for none.
    pub fn release(&mut self, id: Option<HolderId>, bytes: usize) {
        let Some(id) = id else {
            self.used -= bytes;
            return;
        };
        // Closing has released what was left.
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.bytes -= bytes;
        self.used -= bytes;
        if holder.is_evicted {
            self.leaving -= bytes;
        }
    }

    /// Records that a connection has sent or taken `bytes`.
    pub fn record_moved(&mut self, now: Instant, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.record_moved(now, bytes);
        }
    }

    /// Records which side of a connection has to act next.
    pub fn wait_for(&mut self, now: Instant, id: HolderId, side: Side) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.wait_for(now, side);
        }
    }

    /// Evicts the costliest connection of a group; returns whether there is one.
    pub fn evict_one(&mut self, now: Instant, group: ConnectionGroup) -> bool {
        let worst = self.costliest(now, |holder| holder.group == group);
        worst.is_some_and(|(id, _)| self.evict(id))
    }

    /// Evicts a connection; returns whether it wasn't evicted before.
    pub fn evict(&mut self, id: HolderId) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        if holder.is_evicted {
            return false;
        }
        holder.is_evicted = true;
        self.leaving += holder.bytes;
        self.leaving_connections[holder.group.index()] += 1;
        self.evicted.push(id);
        true
    }

    /// Evicts connections until `id` can hold `bytes` more within `limit`.
    fn make_room(
        &mut self,
        now: Instant,
        id: Option<HolderId>,
        bytes: usize,
        limit: usize,
    ) -> Result<(), Full> {
        while (self.used - self.leaving).saturating_add(bytes) > limit {
            if self.leaving > max_leaving(self.limits.bytes()) {
                return Err(Full);
            }
            let (worst, cost) = self.costliest(now, |_| true).ok_or(Full)?;
            let own = id.and_then(|id| self.holders.get(&id));
            let own = own.map_or(0.0, |holder| self.cost(now, holder, bytes));
            if Some(worst) == id || own >= cost {
                return Err(Full);
            }
            self.evict(worst);
        }
        Ok(())
    }

    fn cost(&self, now: Instant, holder: &Holder, more: usize) -> f64 {
        let connections = self.addresses.get(&holder.address).copied();
        holder.cost(now, more, connections.unwrap_or(1))
    }

    /// Returns the evictable connection that costs most, with its cost.
    fn costliest(&self, now: Instant, of: impl Fn(&Holder) -> bool) -> Option<(HolderId, f64)> {
        let evictable = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_evictable() && of(holder));
        evictable
            .map(|(id, holder)| (*id, self.cost(now, holder, 0)))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

/// Returns how much beyond a limit may belong to evicted connections.
const fn max_leaving(limit: usize) -> usize {
    limit / LEAVING_DIVISOR
}
