//! What backend servers have said of themselves, as this daemon's entry was told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::RelayedNotice;

/// Most servers that are remembered; the one heard of longest ago goes first.
const MAX_SERVERS: usize = 1024;
/// How long what was told is told back; a guard that starts again hears of it
/// from the first call.
const NOTICE_TTL: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct StampedNotice {
    notice: RelayedNotice,
    received: Instant,
}

/// What backend servers have said of themselves, by the VM they are on.
///
/// It outlives the guards that told it: a guard that has started again beside
/// the same run of its server has not heard it yet.
#[derive(Debug, Default)]
pub struct ServerNotices {
    by_vm: Mutex<HashMap<SocketAddr, StampedNotice>>,
}

impl ServerNotices {
    /// Takes note that the server on the VM of `address` has answered, and has
    /// nothing to say of itself.
    pub fn record_none(&self, address: SocketAddr) {
        let mut by_vm = self.by_vm.lock();
        // Answers may be older than a server's word that it leaves.
        if by_vm
            .get(&address)
            .is_some_and(|known| !known.notice.leaving)
        {
            by_vm.remove(&address);
        }
    }

    /// Takes what the guard at `address` told of its server.
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

    /// Returns what the server on the VM of `address` has said of itself.
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
