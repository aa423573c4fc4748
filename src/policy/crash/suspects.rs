//! The requests that one daemon suspects.

use std::collections::HashMap;

use tokio::time::Instant;

use super::{Standing, Strike, Suspect};
use crate::model::{CrashId, Fingerprint};
use crate::policy::member::ChangeCount;

/// Most requests that are remembered, of some 200 bytes each. One crash brings
/// as many as its server has slots, some hundred.
const MAX_SUSPECTS: usize = 2048;

/// The requests that were under way at crashes, bounded in number and time.
#[derive(Debug, Default)]
pub struct Suspects {
    known: HashMap<u128, (Suspect, ChangeCount)>,
    change: ChangeCount,
}

impl Suspects {
    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what may be done with a request.
    pub fn standing(&self, now: Instant, request: Fingerprint) -> Standing {
        match self.known.get(&request.asked) {
            Some((suspect, _)) => suspect.standing(now, request, self.is_only(now, suspect)),
            None => Standing::Clear,
        }
    }

    /// Tells whether no other suspect was under way at all crashes that this
    /// one was at.
    fn is_only(&self, now: Instant, suspect: &Suspect) -> bool {
        suspect.is_grave()
            && !self.known.values().any(|(other, _)| {
                other.asked != suspect.asked && !other.is_over(now) && other.explains(suspect)
            })
    }

    /// Takes note that a request was under way at a crash; returns whether
    /// that is new.
    pub fn crashed(&mut self, now: Instant, request: Fingerprint, crash: CrashId) -> bool {
        let strike = Strike {
            crash,
            caller: request.caller,
        };
        let mut suspect = self.take(now, request.asked);
        let new = suspect.strike(now, strike);
        self.put(suspect, new);
        new
    }

    /// Takes note that a server answered a request; returns whether it was
    /// suspected.
    pub fn answered(&mut self, now: Instant, request: Fingerprint) -> bool {
        if !self.known.contains_key(&request.asked) {
            return false;
        }
        let mut suspect = self.take(now, request.asked);
        let new = suspect.answer(request.caller);
        self.put(suspect, new);
        new
    }

    /// Takes what another daemon knows of a request; returns whether that is
    /// more than was known here.
    pub fn merge(&mut self, now: Instant, news: &Suspect) -> bool {
        if news.is_over(now) {
            return false;
        }
        let known = self.known.get(&news.asked);
        let mut suspect = match known {
            Some((suspect, _)) if !suspect.is_over(now) => suspect.clone(),
            _ => Suspect::new(news.asked, news.latest),
        };
        let more = suspect.merge(news);
        if more {
            self.make_room(now, news.asked);
        }
        self.put(suspect, more);
        more
    }

    /// Returns what is known of a request.
    pub fn get(&self, now: Instant, asked: u128) -> Option<&Suspect> {
        let (suspect, _) = self.known.get(&asked)?;
        (!suspect.is_over(now)).then_some(suspect)
    }

    /// Returns what changed after `since`, and the count of changes.
    pub fn changed(&self, now: Instant, since: ChangeCount) -> (Vec<Suspect>, ChangeCount) {
        let later =
            |(suspect, change): &&(Suspect, ChangeCount)| *change > since && !suspect.is_over(now);
        let suspects = self.known.values().filter(later);
        let suspects = suspects.map(|(suspect, _)| suspect.clone()).collect();
        (suspects, self.change)
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now: Instant) {
        self.known.retain(|_, (suspect, _)| !suspect.is_over(now));
    }

    fn take(&mut self, now: Instant, asked: u128) -> Suspect {
        match self.known.get(&asked) {
            Some((suspect, _)) if !suspect.is_over(now) => suspect.clone(),
            _ => {
                self.make_room(now, asked);
                Suspect::new(asked, now)
            }
        }
    }

    /// Puts a suspect back, as a change where something is new.
    fn put(&mut self, suspect: Suspect, new: bool) {
        if new {
            self.change = ChangeCount(self.change.0 + 1);
            self.known.insert(suspect.asked, (suspect, self.change));
        }
    }

    /// Makes room for one more: what is over goes, else what least speaks
    /// against, the oldest first.
    fn make_room(&mut self, now: Instant, asked: u128) {
        if self.known.len() < MAX_SUSPECTS || self.known.contains_key(&asked) {
            return;
        }
        self.forget(now);
        if self.known.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.known.values().map(|(suspect, _)| suspect);
        let least = least.min_by_key(|suspect| (suspect.crashes(), suspect.latest));
        if let Some(asked) = least.map(|suspect| suspect.asked) {
            self.known.remove(&asked);
        }
    }
}
