//! Calls that wait for the rate that the backend server named.

use std::sync::Arc;

use tokio::time::Instant;

use super::Gate;
use crate::model::{Rate, RequestedRate};

impl Gate {
    /// Takes what an answer to a call says that was sent at `sent`; returns
    /// whether that changes the rate.
    pub fn record_rate(self: &Arc<Self>, sent_at: Instant, rate: RequestedRate) -> bool {
        let now = Instant::now();
        let changed = self.state.lock().admission.record_rate(now, sent_at, rate);
        if changed {
            self.update(|admission| admission.expire(now));
            self.pace(now);
        }
        changed
    }

    /// Takes a rate that another daemon heard of; returns whether it is news.
    pub fn adopt_rate(self: &Arc<Self>, rate: Rate) -> bool {
        let now = Instant::now();
        let changed = self.state.lock().admission.adopt_rate(now, rate);
        if changed {
            self.pace(now);
        }
        changed
    }

    /// Returns the rate that the backend server named, if it holds.
    pub fn rate(&self) -> Option<Rate> {
        self.state.lock().admission.rate()
    }

    /// Has waiting calls started at the server's rate, if there are any.
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
