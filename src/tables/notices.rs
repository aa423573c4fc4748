//! Notices of backend servers, as guards relayed them to this daemon's entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::RelayedNotice;

/// Maximum number of servers; the oldest notice is dropped first.
const MAX_SERVERS: usize = 1024;
/// How long a notice is sent back to guards. A restarted guard learns it from
/// the first call that it receives.
const NOTICE_TTL: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct StampedNotice {
    notice: RelayedNotice,
    received: Instant,
}

/// The last notice of each backend server, by the address of its guard.
///
/// A notice outlives the guard that relayed it: after a restart beside the same
/// run of its server, a guard has not received the notice yet.
#[derive(Debug, Default)]
pub struct ServerNotices {
    by_vm: Mutex<HashMap<SocketAddr, StampedNotice>>,
}

impl ServerNotices {
    /// Records that the server behind the guard at `address` answered without a
    /// notice.
    pub fn record_none(&self, address: SocketAddr) {
        let mut by_vm = self.by_vm.lock();
        // The answer may be older than the notice that the server is leaving.
        if by_vm
            .get(&address)
            .is_some_and(|known| !known.notice.leaving)
        {
            by_vm.remove(&address);
        }
    }

    /// Records a notice that the guard at `address` relayed from its server.
    pub fn record(&self, address: SocketAddr, notice: RelayedNotice) {
        let mut by_vm = self.by_vm.lock();
        let known = by_vm.get(&address).map(|known| known.notice);
        let same = known.filter(|known| known.run == notice.run);
        let leaving = notice.leaving || same.is_some_and(|known| known.leaving);
        if known.is_none() && by_vm.len() >= MAX_SERVERS {
            remove_oldest(&mut by_vm);
        }
        let (notice, received) = (RelayedNotice { leaving, ..notice }, Instant::now());
        by_vm.insert(address, StampedNotice { notice, received });
    }

    /// Returns the last notice of the server behind the guard at `address`, unless
    /// it is too old.
    pub fn get(&self, address: SocketAddr) -> Option<RelayedNotice> {
        let by_vm = self.by_vm.lock();
        let known = by_vm.get(&address)?;
        (known.received.elapsed() < NOTICE_TTL).then_some(known.notice)
    }
}

fn remove_oldest(by_vm: &mut HashMap<SocketAddr, StampedNotice>) {
    let oldest = by_vm.iter().min_by_key(|(_, known)| known.received);
    if let Some(address) = oldest.map(|(address, _)| *address) {
        by_vm.remove(&address);
    }
}
