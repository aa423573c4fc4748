//! Starts of queued calls at the rate that the backend server requested.

use std::sync::Arc;

use tokio::time::Instant;

use super::Gate;
use crate::model::{Rate, RequestedRate};

impl Gate {
    /// Records the rate named in the answer to a call sent at `sent_at`; returns
    /// whether it changed.
    pub fn record_rate(self: &Arc<Self>, sent_at: Instant, rate: RequestedRate) -> bool {
        let now = Instant::now();
        let changed = self.state.lock().admission.record_rate(now, sent_at, rate);
        if changed {
            self.update(|admission| admission.expire(now));
            self.pace(now);
        }
        changed
    }

    /// Adopts a rate that another daemon relayed; returns whether it changed.
    pub fn adopt_rate(self: &Arc<Self>, rate: Rate) -> bool {
        let now = Instant::now();
        let changed = self.state.lock().admission.adopt_rate(now, rate);
        if changed {
            self.pace(now);
        }
        changed
    }

    /// Returns the rate that the backend server requested, if it is still in force.
    pub fn rate(&self) -> Option<Rate> {
        self.state.lock().admission.rate()
    }

    /// Spawns a task that starts queued calls at the server's rate, if needed.
    pub(super) fn pace(self: &Arc<Self>, now: Instant) {
        let mut state = self.state.lock();
        let Some(next) = state.admission.next_start(now) else {
            return;
        };
        if !std::mem::replace(&mut state.pacing, true) {
            tokio::spawn(Arc::clone(self).start_paced(next));
        }
    }

    async fn start_paced(self: Arc<Self>, mut next: Instant) {
        loop {
            tokio::time::sleep_until(next).await;
            let now = Instant::now();
            let mut state = self.state.lock();
            let events = state.admission.expire(now);
            state.deliver(events);
            match state.admission.next_start(now) {
                Some(later) => next = later,
                None => {
                    state.pacing = false;
                    return;
                }
            }
        }
    }
}
