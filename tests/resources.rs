//! Limits on what a daemon holds for others, and who is evicted beyond them.

#![allow(missing_docs)]

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use bramleymount::policy::resource::{
    ConnectionGroup, Full, HolderId, Purpose, ResourceLimits, ResourceTable, Side,
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

/// Memory that may be held for others on the VM of the tests: 0.4 of 10 MB.
const HELD_BYTES: usize = 4 * 1024 * 1024;
/// Connections of callers on that VM: half of the descriptors that aren't for files.
const CALLER_CONNECTIONS: usize = 100;
const LARGE_BODY: usize = 400 * 1024;
const SMALL_BODY: usize = 8 * 1024;

struct World {
    table: ResourceTable,
    now: Instant,
}

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

impl World {
    fn new() -> Self {
        Self {
            table: ResourceTable::new(ResourceLimits::new(10 * 1024 * 1024, 400)),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn open(&mut self, from: u8) -> Result<HolderId, Full> {
        let group = ConnectionGroup::Callers;
        self.table.open(self.now, group, address(from))
    }

    fn hold(&mut self, id: HolderId, bytes: usize) -> Result<(), Full> {
        self.table.hold(self.now, Some(id), bytes, Purpose::Request)
    }

    /// Opens a connection that holds a large body.
    fn load(&mut self, from: u8) -> Result<HolderId, Full> {
        let id = self.open(from)?;
        self.hold(id, LARGE_BODY).map(|()| id)
    }

    /// Opens connections that hold large bodies until there is hardly room for another.
    fn fill(&mut self, from: u8) -> Vec<HolderId> {
        (0..5).map(|_| self.load(from).expect("room")).collect()
    }
}

#[test]
fn hold_evicts_who_stands_still_longest() {
    let mut world = World::new();
    let first = world.fill(1);
    world.pass(100);
    for _ in 0..3 {
        world.load(1).expect("room");
    }
    let evicted = world.table.take_evicted();
    assert!(!evicted.is_empty());
    assert!(evicted.iter().all(|id| first.contains(id)), "{evicted:?}");
}

#[test]
fn hold_spares_who_moves() {
    let mut world = World::new();
    let holders = world.fill(1);
    world.pass(1000);
    let moving = holders[0];
    world.table.record_moved(world.now, moving, 64 * 1024);
    for _ in 0..4 {
        let _ = world.load(2);
    }
    let evicted = world.table.take_evicted();
    assert!(!evicted.is_empty());
    assert!(!evicted.contains(&moving));
}

/// A byte now and then keeps nobody from going.
#[test]
fn hold_evicts_who_moves_little() {
    let mut world = World::new();
    let holders = world.fill(1);
    for _ in 0..10 {
        world.pass(100);
        for id in &holders {
            world.table.record_moved(world.now, *id, 1);
        }
    }
    world.load(2).expect("room");
    world.load(2).expect("room");
    assert!(!world.table.take_evicted().is_empty());
}

#[test]
fn hold_evicts_of_many_connections_before_one() {
    let mut world = World::new();
    let single = world.load(2).expect("room");
    let crowd: Vec<_> = (0..4).map(|_| world.load(1).expect("room")).collect();
    world.pass(100);
    for _ in 0..3 {
        world.load(3).expect("room");
    }
    let evicted = world.table.take_evicted();
    assert!(!evicted.is_empty());
    assert!(evicted.iter().all(|id| crowd.contains(id)), "{evicted:?}");
    assert!(!evicted.contains(&single));
}

#[test]
fn hold_limits_one_connection() {
    let mut world = World::new();
    let id = world.load(1).expect("room");
    assert_eq!(world.hold(id, LARGE_BODY), Err(Full));
    assert!(world.table.take_evicted().is_empty());
}

/// Requests that wait for a server stay, and large ones leave room for small ones and for
/// answers.
#[test]
fn hold_refuses_large_requests_while_all_wait_for_servers() {
    let mut world = World::new();
    let mut held = Vec::new();
    loop {
        let id = world.open(1).expect("a connection");
        world.table.wait_for(world.now, id, Side::Own);
        if world.hold(id, LARGE_BODY).is_err() {
            break;
        }
        held.push(id);
    }
    assert!(held.len() >= 4, "{}", held.len());
    assert!(world.table.take_evicted().is_empty());
    let small = world.open(2).expect("a connection");
    assert_eq!(world.hold(small, SMALL_BODY), Ok(()));
    let answer = world
        .table
        .hold(world.now, Some(small), LARGE_BODY, Purpose::Answer);
    assert_eq!(answer, Ok(()));
    assert!(world.table.used() <= HELD_BYTES);
}

#[rstest]
#[case::idle(Side::Remote, true)]
#[case::waiting_for_a_server(Side::Own, false)]
fn open_at_the_limit(#[case] side: Side, #[case] is_open: bool) {
    let mut world = World::new();
    for _ in 0..CALLER_CONNECTIONS {
        let id = world.open(1).expect("a connection");
        world.table.wait_for(world.now, id, side);
    }
    world.pass(1000);
    assert_eq!(world.open(2).is_ok(), is_open);
    assert_eq!(world.table.take_evicted().len(), usize::from(is_open));
    let group = ConnectionGroup::Peers;
    assert!(world.table.open(world.now, group, address(3)).is_ok());
}

/// Evicted connections still have their descriptors.
#[test]
fn open_waits_for_connections_that_have_to_go() {
    let mut world = World::new();
    let count = 10 * CALLER_CONNECTIONS;
    let open = (0..count).filter(|_| world.open(1).is_ok()).count();
    assert!(open > CALLER_CONNECTIONS, "{open}");
    assert!(open <= CALLER_CONNECTIONS * 9 / 8 + 1, "{open}");
    for id in world.table.take_evicted() {
        world.table.close(id);
    }
    assert!(world.open(1).is_ok());
}

proptest! {
    /// Whatever happens, no more is held than the limits and what is evicted.
    #[test]
    fn table_stays_within_limits(
        steps in proptest::collection::vec((0u8..6, 0usize..64, 0usize..1_000_000), 0..300)
    ) {
        let mut world = World::new();
        let mut open: Vec<(HolderId, usize)> = Vec::new();
        for (step, which, bytes) in steps {
            world.pass(bytes as u64 % 50);
            let index = which % open.len().max(1);
            match (step, open.get_mut(index)) {
                (0, _) => open.extend(world.open(which as u8 % 4).ok().map(|id| (id, 0))),
                (1, Some((id, held))) => {
                    let is_held = world.hold(*id, bytes).is_ok();
                    *held += if is_held { bytes } else { 0 };
                }
                (2, Some((id, held))) => {
                    let released = bytes.min(*held);
                    world.table.release(Some(*id), released);
                    *held -= released;
                }
                (3, Some((id, _))) => world.table.record_moved(world.now, *id, bytes),
                (4, Some((id, _))) => {
                    let side = if which % 2 == 0 { Side::Own } else { Side::Remote };
                    world.table.wait_for(world.now, *id, side);
                }
                (5, Some(_)) => {
                    let (id, _) = open.swap_remove(index);
                    world.table.close(id);
                }
                _ => {}
            }
            prop_assert!(world.table.used() <= HELD_BYTES * 5 / 4);
        }
        for (id, _) in open {
            world.table.close(id);
        }
        prop_assert_eq!(world.table.used(), 0);
    }
}
