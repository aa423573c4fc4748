//! Callers: requests that arrive, end and are repeated.

use super::*;

impl World {
    pub(super) fn arrive(&mut self) {
        let factor = if self.disturbed {
            self.scenario.disturb.demand
        } else {
            1.0
        };
        let gap =
            -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / (self.scenario.rate * factor);
        self.after(gap, Event::Arrive);
        let mut draw: f64 = self.rng.random();
        let mut class = 0;
        for (place, spec) in self.scenario.classes.iter().enumerate() {
            class = place;
            draw -= spec.share;
            if draw < 0.0 {
                break;
            }
        }
        let entry = self.by_service[0][self.rng.random_range(0..self.by_service[0].len())];
        let deadline = self.now + self.scenario.deadline_ms;
        let original = self.asked.len();
        self.asked.push((self.now / 1000.0, false));
        self.new_root(class, entry, deadline, original, 0);
    }

    pub(super) fn new_root(
        &mut self,
        class: usize,
        entry: ServerId,
        deadline: f64,
        original: usize,
        repeats: u32,
    ) {
        let root = self.roots.len();
        self.roots.push(Root {
            id: RootId::new(self.rng.random()),
            class,
            deadline,
            entry,
            original,
            repeats,
            account: None,
            retries: 0,
            work_ms: 0.0,
            ended: false,
            whole: false,
        });
        self.after(CLIENT_MS, Event::Enter(root));
        self.at(deadline, Event::Deadline(root));
    }

    pub(super) fn enter(&mut self, root: usize) {
        self.roots[root].account = Some(RetryAccount::new(Retries::new(RETRIES)));
        let entry = self.roots[root].entry;
        let call = self.new_call(root, None, 0, 0, entry);
        self.attempt(call, None);
    }

    /// Ends a request; a caller that was refused repeats it at once.
    pub(super) fn end_root(&mut self, root: usize, whole: bool) {
        if self.roots[root].ended {
            return;
        }
        self.roots[root].ended = true;
        self.roots[root].whole = whole;
        let (class, deadline, original, repeats) = {
            let r = &self.roots[root];
            (r.class, r.deadline, r.original, r.repeats)
        };
        let arrives = self.now + CLIENT_MS;
        if whole && arrives <= deadline {
            self.whole.push(arrives / 1000.0);
            self.asked[original].1 = true;
        } else if repeats < REPEATS && arrives + 2.0 * CLIENT_MS < deadline {
            let entries = &self.by_service[0];
            let entry = entries[self.rng.random_range(0..entries.len())];
            self.now += CLIENT_MS;
            self.new_root(class, entry, deadline, original, repeats + 1);
            self.now -= CLIENT_MS;
        }
    }

    pub(super) fn deadline(&mut self, root: usize) {
        self.roots[root].ended = true;
    }
}
