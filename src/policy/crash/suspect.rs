//! One request that was under way at crashes.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use super::Standing;
use crate::model::{CrashId, Fingerprint};

/// Crashes after which a request is held. One server may end by chance, and a
/// repeat of the same caller may be there when the next one does; operators
/// allow three.
const HELD_AT: usize = 3;
/// Crashes after which a request is held also where another one was under way
/// at all of them: by then both have run alone.
const SURE_AT: usize = 6;
/// Strikes that are remembered of one request.
const MAX_STRIKES: usize = 12;
/// Callers that are remembered as answered, of one request.
const MAX_ANSWERED: usize = 8;
/// How long a request is suspected after the last crash. Callers that come
/// again do so within their deadlines, of some seconds.
const SUSPECTED: Duration = Duration::from_secs(60);
/// How long a request is held after the last crash. A server that it crashes
/// is away for some seconds, with all calls that were under way; once in ten
/// minutes this costs an estate less than one call in a hundred of one server,
/// and a request that is harmless again, as after a release, is soon served.
const HELD: Duration = Duration::from_secs(600);

/// Times of one crash, told from daemon to daemon, differ by less than this.
const SAME: Duration = Duration::from_secs(2);

/// A crash that a request of one caller was under way at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strike {
    /// The crash.
    pub crash: CrashId,
    /// Digest of who asked.
    pub caller: u64,
}

/// What is known of one request that was under way at crashes.
///
/// Daemons tell it to each other; what two of them know adds up to the same in
/// whatever order it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// What is asked for, by whomever.
    pub asked: u128,
    /// The crashes.
    pub strikes: BTreeSet<Strike>,
    /// Digests of the callers to whom a server has answered it since.
    pub answered: BTreeSet<u64>,
    /// When the last crash was.
    pub latest: Instant,
}

impl Suspect {
    /// Makes a suspect that was under way at no crash yet.
    pub fn new(asked: u128, now: Instant) -> Self {
        Self {
            asked,
            strikes: BTreeSet::new(),
            answered: BTreeSet::new(),
            latest: now,
        }
    }

    /// Takes note that it was under way at a crash; returns whether that is new.
    ///
    /// A request that was answered to its caller crashes not each server that
    /// runs it, so nothing more is held against that caller's.
    pub(super) fn strike(&mut self, now: Instant, strike: Strike) -> bool {
        if self.answered.contains(&strike.caller) || self.strikes.contains(&strike) {
            return false;
        }
        self.latest = self.latest.max(now);
        self.strikes.insert(strike);
        self.bound();
        true
    }

    /// Keeps the strikes with the highest ids, so that daemons that tell each
    /// other of more than are kept end with the same ones.
    fn bound(&mut self) {
        while self.strikes.len() > MAX_STRIKES {
            self.strikes.pop_first();
        }
    }

    /// Takes note that a server answered it to a caller.
    pub(super) fn answer(&mut self, caller: u64) -> bool {
        let added = self.answered.len() < MAX_ANSWERED && self.answered.insert(caller);
        self.strikes.retain(|strike| strike.caller != caller);
        added
    }

    /// Adds what another daemon knows; returns whether that is more.
    pub(super) fn merge(&mut self, news: &Self) -> bool {
        let mut more = false;
        for caller in &news.answered {
            more |= self.answer(*caller);
        }
        let before = self.strikes.clone();
        let answered = &self.answered;
        let told = news.strikes.iter().copied();
        let told = told.filter(|strike| !answered.contains(&strike.caller));
        self.strikes.extend(told);
        self.bound();
        more |= self.strikes != before || news.latest > self.latest + SAME;
        if more {
            self.latest = self.latest.max(news.latest);
        }
        more
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.crash_ids().len()
    }

    fn crash_ids(&self) -> BTreeSet<CrashId> {
        self.strikes.iter().map(|strike| strike.crash).collect()
    }

    /// Tells whether it was under way at all crashes that `other` was at.
    pub(super) fn explains(&self, other: &Self) -> bool {
        self.crash_ids().is_superset(&other.crash_ids())
    }

    /// Tells whether nothing is worth remembering any more.
    pub fn is_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.latest);
        let kept = match self.crashes() {
            HELD_AT.. => HELD + HELD,
            _ => SUSPECTED,
        };
        age >= kept
    }

    /// Tells whether it was under way at enough crashes to be the cause of
    /// them, if no other request was.
    pub fn is_grave(&self) -> bool {
        self.crashes() >= HELD_AT
    }

    /// Returns what may be done with a request; `only` tells whether no other
    /// suspect was under way at the same crashes.
    ///
    /// Where several callers asked for it at all crashes, only one of them may be
    /// the cause: each runs alone until a crash meets one without the others.
    ///
    /// After its time a held request gets one more run, alone, and is held
    /// again if that crashes a server.
    pub(super) fn standing(&self, now: Instant, request: Fingerprint, only: bool) -> Standing {
        if self.is_over(now) || self.answered.contains(&request.caller) {
            return Standing::Clear;
        }
        let left = (self.latest + HELD).saturating_duration_since(now);
        let crashes = self.crashes();
        let only = only && self.callers_at_all().count() <= 1;
        let told = crashes >= SURE_AT || crashes >= HELD_AT && only;
        match crashes {
            0 => Standing::Clear,
            1 => Standing::Few,
            _ if told && self.speaks_against(request.caller) && !left.is_zero() => {
                Standing::Held(left)
            }
            _ => Standing::Alone,
        }
    }

    /// Tells whether a caller's request is meant: where that of one caller was
    /// there at all crashes, those of others may be harmless.
    fn speaks_against(&self, caller: u64) -> bool {
        let mut covering = self.callers_at_all().peekable();
        covering.peek().is_none() || covering.any(|covers| covers == caller)
    }

    /// Returns the callers that were there at all crashes.
    fn callers_at_all(&self) -> impl Iterator<Item = u64> + '_ {
        let crashes = self.crash_ids();
        let callers: BTreeSet<u64> = self.strikes.iter().map(|strike| strike.caller).collect();
        callers.into_iter().filter(move |caller| {
            let of = |crash: &CrashId| Strike {
                crash: *crash,
                caller: *caller,
            };
            crashes
                .iter()
                .all(|crash| self.strikes.contains(&of(crash)))
        })
    }
}
