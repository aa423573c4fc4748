//! What the backend server announces of itself, and what follows for calls.

use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::{Guard, Lease, LeaseState};
use crate::model::{Born, ServerId, Slots};
use crate::policy::member::{Announcement, AnnouncementEffect};

impl Guard {
    /// Returns whether the backend server takes calls.
    pub fn lease_state(&self) -> LeaseState {
        self.lease.lock().state(Instant::now())
    }

    /// Takes an announcement or renewal of the backend server; returns whether
    /// it had been away.
    pub fn renew_lease(&self, cold: bool) -> bool {
        let first = self.lease.lock().renew(Instant::now());
        if first {
            self.shared.lease_notify.notify_one();
        }
        if first && cold {
            self.gate.reopen_cold(self.slots());
        } else if first {
            self.gate.reopen();
        }
        first
    }

    /// Takes an announcement of one run of the backend server, which may come
    /// late or out of order.
    pub fn receive_announcement(&self, announcement: &Announcement) -> AnnouncementEffect {
        let effect = self.presence.lock().announce(announcement);
        if effect != AnnouncementEffect::Renewed {
            self.shared.lease_notify.notify_one();
        }
        match effect {
            AnnouncementEffect::Stale => {}
            AnnouncementEffect::Leaving => self.drain(),
            // What an operator has drained is not opened by a renewal.
            AnnouncementEffect::Renewed if self.lease_state() == LeaseState::Leaving => {}
            AnnouncementEffect::Arrived => self.start_run(announcement),
            AnnouncementEffect::Resumed | AnnouncementEffect::Renewed => {
                self.set_announced_slots(announcement.slots);
                if !self.stopping.load(Ordering::Relaxed) {
                    self.renew_lease(announcement.cold);
                }
            }
        }
        effect
    }

    /// Takes a new run of the backend server, of which nothing is known that
    /// was learned of the run before, also if its lease has not ended.
    fn start_run(&self, announcement: &Announcement) {
        self.set_announced_slots(announcement.slots);
        if self.stopping.load(Ordering::Relaxed) {
            return;
        }
        self.gate.reset(self.slots());
        self.renew_lease(announcement.cold);
        if announcement.cold {
            self.gate.reopen_cold(self.slots());
        }
    }

    fn set_announced_slots(&self, slots: Slots) {
        self.announced_slots.lock().replace(slots);
        self.gate.reload(self.slots(), self.protected());
    }

    /// Takes note that a run of the backend server has ended or is about to.
    pub fn record_goodbye(&self, server: &ServerId, born: Option<Born>) {
        if self.presence.lock().record_departure(server, born) {
            self.drain();
            self.shared.lease_notify.notify_one();
        }
    }

    /// Returns the run of the backend server that is present, if it said so.
    pub fn server(&self) -> Option<ServerId> {
        self.presence.lock().server().cloned()
    }

    /// Returns the slots that the backend server announced.
    pub fn announced_slots(&self) -> Option<Slots> {
        *self.announced_slots.lock()
    }

    pub(super) fn record_mismatch(&self, addressed: Option<&ServerId>, found: Option<&ServerId>) {
        if let Some(addressed) = addressed {
            self.presence.lock().record_mismatch(addressed, found);
            *self.lease.lock() = Lease::absent();
        }
    }

    /// Takes note that a run of the backend server has ended, as its closed port
    /// shows; it is served again from its next announcement on.
    ///
    /// Its guard is idle then, and by its load the best target there is: until
    /// its lease lapsed, up to ten seconds, it drew every call only to refuse
    /// it. The estate leaves it out in a tenth of a second so
    /// (`tests/crashed_server.rs`).
    pub(super) fn record_run_end(&self, server: Option<&ServerId>) {
        if self.server().as_ref() != server || self.lease_state() != LeaseState::Serving {
            return;
        }
        *self.lease.lock() = Lease::absent();
        self.shared.lease_notify.notify_one();
    }

    /// Refuses new calls for good, since the daemon stops.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.drain();
    }

    /// Renews the announcement of a backend server that has not been told to
    /// leave.
    pub fn renew_unless_draining(&self) {
        let mut lease = self.lease.lock();
        if lease.state(Instant::now()) != LeaseState::Leaving {
            lease.renew(Instant::now());
        }
    }

    /// Refuses new calls; those in flight go on.
    pub fn drain(&self) {
        self.lease.lock().drain();
        self.gate.close();
    }
}
