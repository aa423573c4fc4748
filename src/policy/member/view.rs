//! The membership view of one daemon.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{Incarnation, Member, MemberState, RankedMembers};
use crate::model::{Instance, ServiceName};

/// How long a stopped member is retained, so that late updates of it are
/// recognized as stale.
const LEFT_RETENTION: Duration = Duration::from_secs(3600);

/// Counts the changes of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeCount(pub u64);

#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// The latest change of the member.
    change: ChangeCount,
    left_at: Option<Instant>,
    silent_at: Option<Instant>,
}

/// Part of the changed members of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The members, in order of their change.
    pub members: Vec<Member>,
    /// The change up to which the page is complete.
    pub change: ChangeCount,
}

/// The members of the estate, one instance per address.
///
/// Only changes are gossiped; healthy members cause no periodic updates. A member
/// is marked silent only by its watcher, and refutes that by incrementing its own
/// incarnation.
#[derive(Debug)]
pub struct View {
    own: Member,
    members: BTreeMap<SocketAddr, MemberEntry>,
    /// The latest change of each member.
    changes: BTreeMap<ChangeCount, SocketAddr>,
    running: RankedMembers,
    change: ChangeCount,
    digest: u64,
}

impl View {
    /// Creates the view of a daemon that knows only itself.
    pub fn new(now: Instant, own: Member) -> Self {
        let mut view = Self {
            own: own.clone(),
            members: BTreeMap::new(),
            changes: BTreeMap::new(),
            running: RankedMembers::default(),
            change: ChangeCount::default(),
            digest: 0,
        };
        view.insert(now, own);
        view
    }

    /// Returns the record of this daemon.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes the record of this daemon, and increments its incarnation if it differs.
    pub fn update_own(&mut self, now: Instant, change: impl FnOnce(&mut Member)) {
        let mut own = self.own.clone();
        change(&mut own);
        if own == self.own {
            return;
        }
        own.incarnation = Incarnation(self.own.incarnation.0 + 1);
        self.own = own.clone();
        self.insert(now, own);
    }

    /// Merges an update of a member; returns whether it changed the view.
    pub fn merge(&mut self, now: Instant, update: Member) -> bool {
        if update.instance == self.own.instance {
            return self.refute(now, &update);
        }
        if update.instance.address == self.own.instance.address {
            return false;
        }
        let newer = match self.members.get(&update.instance.address) {
            None => true,
            Some(entry) if entry.member.instance == update.instance => {
                update.overrides(&entry.member)
            }
            Some(entry) => update.instance.start > entry.member.instance.start,
        };
        if newer {
            self.insert(now, update);
        }
        newer
    }

    /// Merges updates of several members; returns whether any changed the view.
    pub fn merge_all(&mut self, now: Instant, updates: impl Iterator<Item = Member>) -> bool {
        let mut changed = false;
        for member in updates {
            changed |= self.merge(now, member);
        }
        changed
    }

    /// Merges a neighbour's reply to the changes up to `sent`; returns the change
    /// up to which the neighbour now knows this view.
    pub fn merge_reply(
        &mut self,
        now: Instant,
        updates: impl Iterator<Item = Member>,
        sent: ChangeCount,
    ) -> ChangeCount {
        let nothing_else = self.change == sent;
        self.merge_all(now, updates);
        if nothing_else { self.change } else { sent }
    }

    /// Overrides an update about this daemon that it did not send itself.
    fn refute(&mut self, now: Instant, update: &Member) -> bool {
        if !update.overrides(&self.own) {
            return false;
        }
        self.own.incarnation = Incarnation(update.incarnation.0 + 1);
        let own = self.own.clone();
        self.insert(now, own);
        true
    }

    /// Marks the watched member `instance` as silent; returns whether it changed.
    pub fn mark_silent(&mut self, now: Instant, instance: Instance) -> bool {
        let Some(entry) = self.members.get(&instance.address) else {
            return false;
        };
        let member = &entry.member;
        if member.instance != instance || member.state >= MemberState::Silent {
            return false;
        }
        let mut update = member.clone();
        update.state = MemberState::Silent;
        self.insert(now, update);
        true
    }

    fn insert(&mut self, now: Instant, member: Member) {
        let address = member.instance.address;
        let left_at = (member.state == MemberState::Left).then_some(now);
        let silent_at = self.silence_start(now, &member);
        self.remove(address);
        self.digest ^= digest_of(&member);
        self.change = ChangeCount(self.change.0 + 1);
        self.changes.insert(self.change, address);
        if member.state < MemberState::Silent {
            self.running.insert(&member.centre, member.instance);
        }
        let entry = MemberEntry {
            member,
            change: self.change,
            left_at,
            silent_at,
        };
        self.members.insert(address, entry);
    }

    /// Returns since when a member is silent, unless it was leaving before.
    fn silence_start(&self, now: Instant, member: &Member) -> Option<Instant> {
        if member.state != MemberState::Silent {
            return None;
        }
        match self.members.get(&member.instance.address) {
            Some(known) if known.member.instance == member.instance => match known.member.state {
                MemberState::Silent => known.silent_at,
                MemberState::Leaving | MemberState::Left => None,
                MemberState::Waiting | MemberState::Serving => Some(now),
            },
            _ => Some(now),
        }
    }

    fn remove(&mut self, address: SocketAddr) {
        let Some(old) = self.members.remove(&address) else {
            return;
        };
        self.digest ^= digest_of(&old.member);
        self.changes.remove(&old.change);
        self.running.remove(&old.member.centre, old.member.instance);
    }

    /// Removes members that stopped long ago.
    pub fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > LEFT_RETENTION;
        let left = self
            .members
            .iter()
            .filter(|(_, entry)| entry.left_at.is_some_and(is_old));
        let old: Vec<SocketAddr> = left.map(|(address, _)| *address).collect();
        for address in old {
            self.remove(address);
        }
    }

    /// Returns a digest of the view; equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of changes so far.
    pub fn change(&self) -> ChangeCount {
        self.change
    }

    /// Returns up to `limit` members changed after `since`, except those that are
    /// equal in `known`, which the other side has just sent.
    ///
    /// When two daemons exchange their whole views, as after a start, most entries
    /// are sent once instead of twice.
    pub fn page(&self, since: ChangeCount, limit: usize, known: &[Member]) -> Page {
        let known: HashMap<Instance, &Member> = known.iter().map(|m| (m.instance, m)).collect();
        let mut page = Page {
            members: Vec::new(),
            change: self.change,
        };
        let after = (Bound::Excluded(since), Bound::Unbounded);
        for (change, address) in self.changes.range(after) {
            let Some(member) = self.at(*address) else {
                continue;
            };
            if known.get(&member.instance) == Some(&member) {
                continue;
            }
            if page.members.len() == limit {
                page.change = ChangeCount(change.0 - 1);
                break;
            }
            page.members.push(member.clone());
        }
        page
    }

    /// Returns all members, including this daemon.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns the member at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address).map(|entry| &entry.member)
    }

    /// Returns the members of a service that accept calls.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        self.members()
            .filter(move |m| m.service == *service && m.state == MemberState::Serving)
    }

    /// Returns the members that fell silent after `since` and were not leaving.
    pub fn silent_after(&self, since: Instant) -> impl Iterator<Item = Instance> + '_ {
        let is_recent = move |entry: &&MemberEntry| entry.silent_at.is_some_and(|at| at > since);
        let silent = self.members.values().filter(is_recent);
        silent.map(|entry| entry.member.instance)
    }

    /// Returns the running members by data centre.
    pub fn running(&self) -> &RankedMembers {
        &self.running
    }
}

fn digest_of(member: &Member) -> u64 {
    let text = format!(
        "{} {} {}",
        member.instance, member.incarnation.0, member.state
    );
    xxh3_64(text.as_bytes())
}
