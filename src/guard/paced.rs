//! Calls that wait for the rate that the backend server named.

use std::sync::Arc;

use tokio::time::Instant;

use super::Gate;
use crate::model::{NamedRate, Rate};

impl Gate {
    /// Takes what an answer to a call says that was sent at `sent`; returns
    /// whether that changes the rate.
    pub fn hear_rate(self: &Arc<Self>, sent: Instant, rate: NamedRate) -> bool {
        let now = Instant::now();
        let is_news = self.inner.lock().admission.record_rate(now, sent, rate);
        if is_news {
            self.with(|admission| admission.expire(now));
            self.pace(now);
        }
        is_news
    }

    /// Takes a rate that another daemon heard of; returns whether it is news.
    pub fn adopt_rate(self: &Arc<Self>, rate: Rate) -> bool {
        let now = Instant::now();
        let is_news = self.inner.lock().admission.adopt_rate(now, rate);
        if is_news {
            self.pace(now);
        }
        is_news
    }

    /// Returns the rate that the backend server named, if it holds.
    pub fn rate(&self) -> Option<Rate> {
        self.inner.lock().admission.rate()
    }

    /// Has waiting calls started at the server's rate, if there are any.
    pub(super) fn pace(self: &Arc<Self>, now: Instant) {
        let mut inner = self.inner.lock();
        let Some(next) = inner.admission.next_start(now) else {
            return;
        };
        if !std::mem::replace(&mut inner.pacing, true) {
            tokio::spawn(Arc::clone(self).start_paced(next));
        }
    }

    async fn start_paced(self: Arc<Self>, mut next: Instant) {
        loop {
            tokio::time::sleep_until(next).await;
            let now = Instant::now();
            let mut inner = self.inner.lock();
            let events = inner.admission.expire(now);
            inner.deliver(events);
            match inner.admission.next_start(now) {
                Some(later) => next = later,
                None => {
                    inner.pacing = false;
                    return;
                }
            }
        }
    }
}
