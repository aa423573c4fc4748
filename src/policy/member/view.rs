//! All members as one daemon knows them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{Incarnation, Member, MemberState, RankedMembers};
use crate::model::{Instance, ServiceName};

/// How long a stopped member is remembered, so that old news of it is known
/// to be old.
const LEFT_RETENTION: Duration = Duration::from_secs(3600);

/// Counts the changes of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeCount(pub u64);

#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// The latest change of it.
    change: ChangeCount,
    ended: Option<Instant>,
}

/// Members that were changed, as far as they were asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The members, those changed first before the others.
    pub members: Vec<Member>,
    /// The change up to which they are all told.
    pub change: ChangeCount,
}

/// The members of the estate, one run per address.
///
/// News spreads as changes only; there is no periodic news of members that
/// are well. A member is called silent by its watcher alone, and overrides
/// that by raising its own beat.
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
    /// Makes the view of a daemon that knows only itself.
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

    /// Returns what this daemon says of itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes what this daemon says of itself.
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

    /// Takes news of a member; returns whether it changed the view.
    pub fn merge(&mut self, now: Instant, news: Member) -> bool {
        if news.instance == self.own.instance {
            return self.refute(now, &news);
        }
        if news.instance.address == self.own.instance.address {
            return false;
        }
        let newer = match self.members.get(&news.instance.address) {
            None => true,
            Some(entry) if entry.member.instance == news.instance => news.overrides(&entry.member),
            Some(entry) => news.instance.start > entry.member.instance.start,
        };
        if newer {
            self.insert(now, news);
        }
        newer
    }

    /// Takes news of several members; returns whether it changed the view.
    pub fn merge_all(&mut self, now: Instant, news: impl Iterator<Item = Member>) -> bool {
        let mut changed = false;
        for member in news {
            changed |= self.merge(now, member);
        }
        changed
    }

    /// Takes what a neighbour answered to what it was told up to the change
    /// `sent`; returns up to which change it knows the view now.
    pub fn merge_reply(
        &mut self,
        now: Instant,
        news: impl Iterator<Item = Member>,
        sent: ChangeCount,
    ) -> ChangeCount {
        let nothing_else = self.change == sent;
        self.merge_all(now, news);
        if nothing_else { self.change } else { sent }
    }

    fn refute(&mut self, now: Instant, news: &Member) -> bool {
        if !news.overrides(&self.own) {
            return false;
        }
        self.own.incarnation = Incarnation(news.incarnation.0 + 1);
        let own = self.own.clone();
        self.insert(now, own);
        true
    }

    /// Takes note that the watched member `instance` is not heard from.
    pub fn mark_silent(&mut self, now: Instant, instance: Instance) -> bool {
        let Some(entry) = self.members.get(&instance.address) else {
            return false;
        };
        let member = &entry.member;
        if member.instance != instance || member.state >= MemberState::Silent {
            return false;
        }
        let mut news = member.clone();
        news.state = MemberState::Silent;
        self.insert(now, news);
        true
    }

    fn insert(&mut self, now: Instant, member: Member) {
        let address = member.instance.address;
        let ended = (member.state == MemberState::Left).then_some(now);
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
            ended,
        };
        self.members.insert(address, entry);
    }

    fn remove(&mut self, address: SocketAddr) {
        let Some(old) = self.members.remove(&address) else {
            return;
        };
        self.digest ^= digest_of(&old.member);
        self.changes.remove(&old.change);
        self.running.remove(&old.member.centre, old.member.instance);
    }

    /// Forgets members that stopped long ago.
    pub fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > LEFT_RETENTION;
        let ended = self
            .members
            .iter()
            .filter(|(_, entry)| entry.ended.is_some_and(is_old));
        let old: Vec<SocketAddr> = ended.map(|(address, _)| *address).collect();
        for address in old {
            self.remove(address);
        }
    }

    /// Returns a digest that is equal for equal views.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the count of changes so far.
    pub fn change(&self) -> ChangeCount {
        self.change
    }

    /// Returns the members changed after `since`, `most` of them at most, but for
    /// those that the other side has `told` just so. Two daemons that tell each
    /// other their whole views, as after a start, send most entries once in place
    /// of twice.
    pub fn page(&self, since: ChangeCount, most: usize, told: &[Member]) -> Page {
        let told: HashMap<Instance, &Member> = told.iter().map(|m| (m.instance, m)).collect();
        let mut page = Page {
            members: Vec::new(),
            change: self.change,
        };
        let after = (Bound::Excluded(since), Bound::Unbounded);
        for (change, address) in self.changes.range(after) {
            let Some(member) = self.at(*address) else {
                continue;
            };
            if told.get(&member.instance) == Some(&member) {
                continue;
            }
            if page.members.len() == most {
                page.change = ChangeCount(change.0 - 1);
                break;
            }
            page.members.push(member.clone());
        }
        page
    }

    /// Returns all members, this daemon among them.
    pub fn members(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns the member at `address`.
    pub fn at(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address).map(|entry| &entry.member)
    }

    /// Returns the members of a service that take calls.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        self.members()
            .filter(move |m| m.service == *service && m.state == MemberState::Serving)
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
