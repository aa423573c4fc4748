//! Whether a daemon uses the platform's store itself.
//!
//! The load answered here: an estate of a thousand daemons that starts at once,
//! and goes on for days. If each reads, writes and follows rows for itself, the
//! store gets calls in proportion to the daemons, all of them in the first
//! second. A few of each data centre suffice: what they learn travels between
//! neighbours anyway, and no caller waits for it.

use std::time::Duration;

use tokio::time::Instant;

/// How long a daemon must come first before it acts for its data centre, so that
/// in a start of all, while views fill, not each does so in turn.
const SETTLED: Duration = Duration::from_secs(1);
/// How long one that no longer comes first still acts, until the one that does
/// has settled.
const LINGER: Duration = Duration::from_secs(3);
/// After this long without an answer of any neighbour a daemon is cut off: one and
/// a half times what lies between two questions to them. A version of the
/// configuration is then still read within two seconds of its acceptance.
const CUT_OFF: Duration = Duration::from_millis(1500);

/// For whom a daemon uses the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// For nobody: others of its data centre do.
    None,
    /// For itself, since no other daemon answers it.
    Own,
    /// For its data centre.
    Centre,
}

impl Duty {
    /// Tells whether the daemon uses the store at all.
    pub const fn uses_store(self) -> bool {
        !matches!(self, Self::None)
    }

    /// Returns the word that stands in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Own => "own",
            Self::Centre => "centre",
        }
    }
}

/// What decides on the duty of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct DutyTerm {
    /// Until when it waits for neighbours that it was told of at its start.
    patience: Instant,
    /// When a neighbour answered last.
    heard: Option<Instant>,
    /// Since when it comes first without a break.
    first: Option<Instant>,
    /// When it acted for its data centre last.
    acted: Option<Instant>,
}

impl DutyTerm {
    /// Makes the term of a daemon that starts now and uses the store after
    /// `patience` if nobody answers it.
    pub fn new(now: Instant, patience: Duration) -> Self {
        Self {
            patience: now + patience,
            heard: None,
            first: None,
            acted: None,
        }
    }

    /// Takes note that a neighbour answered.
    pub fn heard(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// Tells whether a neighbour has ever answered.
    pub fn has_heard(&self) -> bool {
        self.heard.is_some()
    }

    /// Decides; `first` tells whether the daemon comes first in its data centre
    /// by what it knows of the others.
    pub fn decide(&mut self, now: Instant, first: bool) -> Duty {
        self.first = first.then(|| self.first.unwrap_or(now));
        if self.is_cut_off(now) {
            return if now < self.patience {
                Duty::None
            } else {
                Duty::Own
            };
        }
        let age = |since: Instant| now.saturating_duration_since(since);
        if self.first.is_some_and(|since| age(since) >= SETTLED) {
            self.acted = Some(now);
            return Duty::Centre;
        }
        if self.acted.is_some_and(|at| age(at) < LINGER) {
            return Duty::Centre;
        }
        Duty::None
    }

    fn is_cut_off(&self, now: Instant) -> bool {
        let silence = self.heard.map(|at| now.saturating_duration_since(at));
        silence.is_none_or(|silence| silence > CUT_OFF)
    }
}
