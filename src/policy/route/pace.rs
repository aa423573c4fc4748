//! How fast one backend server answers.

use std::time::Duration;

use tokio::time::Instant;

use super::weight::{Weighing, faded};

/// Half-life of what was learned of a server's own speed: one that was slow is
/// tried again some seconds later.
const OWN_AGE: Duration = Duration::from_secs(10);
/// How the own speed is learned: some ten answers, and no fewer than some
/// seconds of them, so that a slow spell does not pass for it.
const OWN: Weighing = Weighing {
    half: Duration::from_secs(3),
    most: 0.25,
    prior: 2.0,
};
/// Half-life of a slow spell. Those that callers meet last for half a second.
const SPELL_AGE: Duration = Duration::from_millis(300);
/// How a spell is learned: from two or three answers, or some 50 ms of many.
const SPELL: Weighing = Weighing {
    half: Duration::from_millis(50),
    most: 0.6,
    prior: f64::INFINITY,
};
/// Smallest part that an answer of a spell counts for, however many come.
const SPELL_LEAST: f64 = 0.1;
/// Logarithm by which a server that has not answered is hoped to be faster
/// than the mean: it gets calls beside fast ones until it has answered some.
const HOPE: f64 = 0.25;
/// Greatest logarithm of a ratio that is believed, eight times.
const BOUND: f64 = 2.079;

/// How fast one backend server answers, as the ratio of its time to what calls
/// of the same kind take at the service's servers in the mean.
///
/// Two parts are learned, both as logarithms so that twice as slow and twice
/// as fast weigh alike: the server's own speed, and the slow spell that it may
/// be in. What is old fades to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    own: f64,
    spell: f64,
    answers: u32,
    at: Option<Instant>,
}

impl Pace {
    /// Takes note of an answer whose time exceeded the mean of its kind by a
    /// logarithm of `excess`.
    pub fn answered(&mut self, now: Instant, excess: f64) {
        let excess = excess.clamp(-BOUND, BOUND);
        let since = self.age(now);
        self.own = self.own(now);
        self.spell = self.spell(now);
        self.own += (excess - self.own) * OWN.weight(self.answers, since);
        let part = SPELL.weight(self.answers, since).max(SPELL_LEAST);
        // There are no fast spells; what looks like one is chance.
        self.spell = (self.spell + (excess - self.own - self.spell) * part).max(0.0);
        self.answers = self.answers.saturating_add(1);
        self.at = Some(now);
    }

    /// Takes note of a call that was given up after a time that exceeded the
    /// mean of its kind by `excess`: its answer would have taken longer.
    pub fn given_up(&mut self, now: Instant, excess: f64) {
        if excess > self.own(now) + self.spell(now) {
            self.answered(now, excess);
        }
    }

    /// Tells whether anything has been learned.
    pub fn is_known(&self) -> bool {
        self.answers > 0
    }

    /// Returns the logarithm of its ratio that its own speed makes, without a spell's part.
    pub fn own(&self, now: Instant) -> f64 {
        faded(self.own, self.age(now), OWN_AGE)
    }

    /// Returns the time of an answer now as a multiple of the service's mean.
    pub fn ratio(&self, now: Instant) -> f64 {
        (self.own(now) + self.spell(now)).exp()
    }

    /// Returns the ratio with what is hoped of a server that has answered few
    /// calls.
    pub fn hoped(&self, now: Instant) -> f64 {
        self.ratio(now) * (-HOPE / f64::from(self.answers.saturating_add(1))).exp()
    }

    fn spell(&self, now: Instant) -> f64 {
        faded(self.spell, self.age(now), SPELL_AGE)
    }

    fn age(&self, now: Instant) -> Duration {
        self.at
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}
