//! Requests that were under way at crashes, as this daemon knows them.

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::model::{CrashId, Fingerprint};
use crate::policy::crash::{self, Standing, Suspect};
use crate::policy::member::Change;

/// The requests that were under way at crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    known: Mutex<crash::Suspects>,
}

impl Suspects {
    /// Returns what may be done with a request.
    pub fn standing(&self, request: Fingerprint) -> Standing {
        let known = self.known.lock();
        if known.is_empty() {
            return Standing::Clear;
        }
        known.standing(Instant::now(), request)
    }

    /// Takes note that a request was under way at a crash; returns whether
    /// that is new.
    pub fn crashed(&self, request: Fingerprint, crash: CrashId) -> bool {
        self.change(request, |known, now| known.crashed(now, request, crash))
    }

    /// Takes note that a server answered a request; returns whether it was
    /// suspected.
    pub fn answered(&self, request: Fingerprint) -> bool {
        if self.known.lock().is_empty() {
            return false;
        }
        self.change(request, |known, now| known.answered(now, request))
    }

    /// Takes what another daemon knows; returns whether that is more than was
    /// known here.
    pub fn merge(&self, news: &[Suspect]) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let mut more = false;
        for suspect in news {
            more |= known.merge(now, suspect);
        }
        more
    }

    /// Returns what is known of a request.
    pub fn get(&self, request: Fingerprint) -> Option<Suspect> {
        let known = self.known.lock();
        known.get(Instant::now(), request.asked).cloned()
    }

    /// Returns what changed after `since`, and the count of changes.
    pub fn changed(&self, since: Change) -> (Vec<Suspect>, Change) {
        self.known.lock().changed(Instant::now(), since)
    }

    /// Forgets what is over.
    pub fn forget(&self) {
        self.known.lock().forget(Instant::now());
    }

    /// Changes what is known of a request, and logs where that leads to
    /// another decision.
    fn change(
        &self,
        request: Fingerprint,
        change: impl FnOnce(&mut crash::Suspects, Instant) -> bool,
    ) -> bool {
        let now = Instant::now();
        let mut known = self.known.lock();
        let before = known.standing(now, request);
        let new = change(&mut known, now);
        let after = known.standing(now, request);
        let crashes = known.get(now, request.asked).map_or(0, Suspect::crashes);
        drop(known);
        if let (Standing::Held(left), false) = (after, matches!(before, Standing::Held(_))) {
            spdlog::warn!("request held, since it crashes servers", kv: {
                asks = request.to_string().as_str(),
                crashes,
                held_s = left.as_secs()
            });
        }
        if matches!(before, Standing::Held(_)) && after == Standing::Clear {
            spdlog::info!("request no longer held", kv: { asks = request.to_string().as_str() });
        }
        new
    }
}
