//! Callers: arrival, end and retries of requests.

use super::*;

impl World {
    pub(super) fn arrive(&mut self) {
        let factor = if self.disturbed {
            self.scenario.disturbance.demand_factor
        } else {
            1.0
        };
        let gap_ms =
            -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / (self.scenario.rate * factor);
        self.schedule_after(gap_ms, Event::Arrive);
        let mut draw: f64 = self.rng.random();
        let mut class = 0;
        for (index, spec) in self.scenario.classes.iter().enumerate() {
            class = index;
            draw -= spec.share;
            if draw < 0.0 {
                break;
            }
        }
        let entry = self.by_service[0][self.rng.random_range(0..self.by_service[0].len())];
        let deadline = self.now + self.scenario.deadline_ms;
        let original = self.requests.len();
        self.requests.push((self.now / 1000.0, false));
        self.start_root(class, entry, deadline, original, 0);
    }

    pub(super) fn start_root(
        &mut self,
        class: usize,
        entry: ServerId,
        deadline: f64,
        original: usize,
        repeats: u32,
    ) {
        let root = self.roots.len();
        self.roots.push(RootRequest {
            id: RootId::new(self.rng.random()),
            class,
            deadline,
            entry,
            original,
            repeats,
            account: None,
            retries: 0,
            work_ms: 0.0,
            is_ended: false,
            is_complete: false,
        });
        self.schedule_after(CLIENT_DELAY_MS, Event::Enter(root));
        self.schedule_at(deadline, Event::Deadline(root));
    }

    pub(super) fn enter(&mut self, root: usize) {
        self.roots[root].account = Some(RetryAccount::new(Retries::new(MAX_RETRIES)));
        let entry = self.roots[root].entry;
        let call = self.new_call(root, None, 0, 0, entry);
        self.attempt(call, None);
    }

    /// Ends a request; its caller retries at once if the answer isn't complete.
    pub(super) fn finish_root(&mut self, root: usize, is_complete: bool) {
        if self.roots[root].is_ended {
            return;
        }
        self.roots[root].is_ended = true;
        self.roots[root].is_complete = is_complete;
        let (class, deadline, original, repeats) = {
            let r = &self.roots[root];
            (r.class, r.deadline, r.original, r.repeats)
        };
        let arrival = self.now + CLIENT_DELAY_MS;
        if is_complete && arrival <= deadline {
            self.completions.push(arrival / 1000.0);
            self.requests[original].1 = true;
        } else if repeats < MAX_CALLER_RETRIES && arrival + 2.0 * CLIENT_DELAY_MS < deadline {
            let entries = &self.by_service[0];
            let entry = entries[self.rng.random_range(0..entries.len())];
            self.now += CLIENT_DELAY_MS;
            self.start_root(class, entry, deadline, original, repeats + 1);
            self.now -= CLIENT_DELAY_MS;
        }
    }

    pub(super) fn expire_root(&mut self, root: usize) {
        self.roots[root].is_ended = true;
    }
}
