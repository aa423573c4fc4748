//! Shared account of the memory and the connections that a daemon holds for others.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::policy::resource::{
    ConnectionGroup, Full, HolderId, Purpose, ResourceLimits, ResourceTable, Side,
};

/// What is held for a connection in small parts, in bytes; it counts as part of the
/// connection itself.
const SMALL_BYTES: usize = 4 * 1024;

/// The account of a daemon; clones share it.
#[derive(Clone)]
pub struct Resources(Arc<Mutex<Account>>);

struct Account {
    table: ResourceTable,
    /// Notify connections of their eviction.
    evictions: HashMap<HolderId, watch::Sender<bool>>,
    counts: EvictionCounts,
}

/// Connections that a full account has cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCounts {
    /// Connections that were evicted.
    pub evicted: u64,
    /// Connections that were closed at once.
    pub refused: u64,
}

impl Account {
    /// Notifies the connections that were evicted.
    fn notify(&mut self) {
        for id in self.table.take_evicted() {
            self.counts.evicted += 1;
            if let Some(eviction) = self.evictions.get(&id) {
                eviction.send_replace(true);
            }
        }
    }
}

impl Resources {
    /// Creates an empty account.
    pub fn new(limits: ResourceLimits) -> Self {
        Self(Arc::new(Mutex::new(Account {
            table: ResourceTable::new(limits),
            evictions: HashMap::new(),
            counts: EvictionCounts::default(),
        })))
    }

    fn update<T>(&self, update: impl FnOnce(&mut ResourceTable, Instant) -> T) -> T {
        let mut account = self.0.lock();
        let result = update(&mut account.table, Instant::now());
        account.notify();
        result
    }

    /// Opens an account for a connection, which closes when it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for the connection.
    pub fn open(&self, group: ConnectionGroup, address: IpAddr) -> Result<Arc<Holder>, Full> {
        let (sender, eviction) = watch::channel(false);
        // Locked once: the new connection may be evicted as soon as it is in the table.
        let mut account = self.0.lock();
        let opened = account.table.open(Instant::now(), group, address);
        account.notify();
        if opened.is_err() {
            account.counts.refused += 1;
        }
        let id = opened?;
        account.evictions.insert(id, sender);
        Ok(Arc::new(Holder {
            resources: self.clone(),
            id,
            eviction,
            waits_for_own: AtomicBool::new(false),
        }))
    }

    /// Evicts a connection of a group to free its descriptor; returns whether there is one.
    pub fn evict_one(&self, group: ConnectionGroup) -> bool {
        self.update(|table, now| table.evict_one(now, group))
    }

    /// Returns a charge of nothing that belongs to no connection.
    pub fn charge(&self, purpose: Purpose) -> Charge {
        Charge {
            resources: self.clone(),
            holder: None,
            purpose,
            bytes: 0,
        }
    }

    /// Returns the memory that is held, in bytes.
    pub fn used(&self) -> usize {
        self.0.lock().table.used()
    }

    /// Returns how many connections were evicted or refused since the last call.
    pub fn take_counts(&self) -> EvictionCounts {
        std::mem::take(&mut self.0.lock().counts)
    }
}

impl fmt::Debug for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Resources").field(&self.used()).finish()
    }
}

/// The account of one connection.
#[derive(Debug)]
pub struct Holder {
    resources: Resources,
    id: HolderId,
    eviction: watch::Receiver<bool>,
    /// Whether this daemon has to act next.
    waits_for_own: AtomicBool,
}

impl Holder {
    /// Returns a charge of nothing that belongs to this connection.
    pub fn charge(self: &Arc<Self>, purpose: Purpose) -> Charge {
        Charge {
            resources: self.resources.clone(),
            holder: Some(Arc::clone(self)),
            purpose,
            bytes: 0,
        }
    }

    /// Records that the connection has sent or taken `bytes`.
    pub fn record_moved(&self, bytes: usize) {
        self.resources
            .update(|table, now| table.record_moved(now, self.id, bytes));
    }

    /// Records which side of the connection has to act next.
    pub fn wait_for(&self, side: Side) {
        let is_own = side == Side::Own;
        // Checked without the lock, since most calls change nothing.
        if self.waits_for_own.load(Ordering::Relaxed) != is_own {
            self.resources.update(|table, now| {
                self.waits_for_own.store(is_own, Ordering::Relaxed);
                table.wait_for(now, self.id, side);
            });
        }
    }

    /// Evicts this connection.
    pub fn evict(&self) {
        self.resources.update(|table, _| table.evict(self.id));
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        let mut eviction = self.eviction.clone();
        // The sender lives as long as this account.
        let _ = eviction.wait_for(|is_evicted| *is_evicted).await;
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut account = self.resources.0.lock();
        account.table.close(self.id);
        account.evictions.remove(&self.id);
    }
}

/// Memory that is held, counted until it is dropped.
#[derive(Debug)]
pub struct Charge {
    resources: Resources,
    /// The connection that it is held for, if there is one.
    holder: Option<Arc<Holder>>,
    purpose: Purpose,
    bytes: usize,
}

impl Charge {
    /// Grows to `bytes`, unless it has them already or they are few.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for them, or if the connection is evicted; the charge
    /// stays as it was.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes <= self.bytes.max(SMALL_BYTES) {
            return Ok(());
        }
        let more = bytes - self.bytes;
        let (id, purpose) = (self.id(), self.purpose);
        self.resources
            .update(|table, now| table.hold(now, id, more, purpose))?;
        self.bytes = bytes;
        Ok(())
    }

    /// Releases all of it.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if bytes > 0 {
            let id = self.id();
            self.resources.update(|table, _| table.release(id, bytes));
        }
    }

    fn id(&self) -> Option<HolderId> {
        self.holder.as_ref().map(|holder| holder.id)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clear();
    }
}
