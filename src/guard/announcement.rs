//! Announcements of the backend server, and their effect on calls.

use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::{Guard, Lease, LeaseState};
use crate::model::{ServerId, ServerStart, Slots};
use crate::policy::member::{Announcement, AnnouncementEffect};

impl Guard {
    /// Returns whether the backend server takes calls.
    pub fn lease_state(&self) -> LeaseState {
        self.lease.lock().state(Instant::now())
    }

    /// Grants or renews the lease of the backend server; returns whether it had none.
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

    /// Processes an announcement of the backend server, which may arrive late or out
    /// of order.
    pub fn receive_announcement(&self, announcement: &Announcement) -> AnnouncementEffect {
        let effect = self.presence.lock().announce(announcement);
        if effect != AnnouncementEffect::Renewed {
            self.shared.lease_notify.notify_one();
        }
        match effect {
            AnnouncementEffect::Stale => {}
            AnnouncementEffect::Leaving => self.drain(),
            // A renewal does not undo a drain requested by an operator.
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

    /// Starts serving a new run of the backend server.
    ///
    /// Discards what was learned about the previous run, even if its lease has not
    /// expired.
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

    /// Records that a run of the backend server has ended or is about to.
    pub fn record_departure(&self, server: &ServerId, born: Option<ServerStart>) {
        if self.presence.lock().record_departure(server, born) {
            self.drain();
            self.shared.lease_notify.notify_one();
        }
    }

    /// Returns the current backend server, if it announced itself.
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

    /// Ends the lease of a backend server whose port is closed; its next announcement
    /// starts a new one.
    ///
    /// Otherwise its idle guard is the least loaded target and attracts every call,
    /// only to refuse it, until the lease expires up to ten seconds later. Ending
    /// the lease takes it out of routing within a tenth of a second
    /// (`tests/crashed_server.rs`).
    pub(super) fn record_run_end(&self, server: Option<&ServerId>) {
        if self.server().as_ref() != server || self.lease_state() != LeaseState::Serving {
            return;
        }
        *self.lease.lock() = Lease::absent();
        self.shared.lease_notify.notify_one();
    }

    /// Permanently refuses new calls because the daemon is stopping.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.drain();
    }

    /// Renews the lease unless the backend server is draining.
    pub fn renew_unless_draining(&self) {
        let mut lease = self.lease.lock();
        if lease.state(Instant::now()) != LeaseState::Leaving {
            lease.renew(Instant::now());
        }
    }

    /// Refuses new calls; calls in flight continue.
    pub fn drain(&self) {
        self.lease.lock().drain();
        self.gate.close();
    }
}
