//! Planned stops and the hand-over.

use super::*;

impl World {
    pub(super) fn stop_step(&mut self, at: Instance, step: u8) {
        let Some(n) = self.live_node(at) else { return };
        let instant = self.instant();
        match step {
            0 if self.nodes[n].leaving_since.is_none() => {
                self.nodes[n].leaving_since = Some(self.time);
                self.nodes[n]
                    .view
                    .update_own(instant, |own| own.state = MemberState::Leaving);
                self.schedule(1500, Event::StopStep { at, step: 1 });
            }
            1 => {
                // A call that is being claimed counts as in progress.
                let busy = !self.nodes[n].waiters.is_empty();
                let next = if busy { 1 } else { 2 };
                self.schedule(20, Event::StopStep { at, step: next });
            }
            2 => {
                self.nodes[n].ledger.stop();
                self.schedule(1, Event::StopStep { at, step: 3 });
            }
            3 => {
                self.hand_over(n, at);
                self.schedule(1, Event::StopStep { at, step: 4 });
            }
            4 => {
                if self.running.iter().any(|(i, _)| *i == at) {
                    self.violations
                        .push("a planned stop interrupted a call".into());
                }
                self.nodes[n]
                    .view
                    .update_own(instant, |own| own.state = MemberState::Left);
                self.crash(n);
            }
            _ => {}
        }
    }

    pub(super) fn hand_over(&mut self, n: usize, own: Instance) {
        let successor = self.nodes[n]
            .view
            .serving(&service())
            .map(|m| m.instance)
            .find(|i| *i != own);
        let Some(successor) = successor else { return };
        let Some(to) = self.live_node(successor) else {
            return;
        };
        let reached = !self.cuts.contains(&(n, to)) && self.nodes[to].paused_until <= self.time;
        if !reached || self.nodes[to].ledger.is_stopped() {
            return;
        }
        let entries: Vec<(OnceKey, KeyState, u64)> = self.nodes[n]
            .ledger
            .entries()
            .map(|(key, entry)| (key.clone(), entry.state.clone(), entry.body_hash))
            .collect();
        let forgotten = self.nodes[n].ledger.forgotten();
        let mint = self.mint();
        self.nodes[to].ledger.adopt_forgotten(forgotten);
        for (key, state, hash) in entries {
            self.nodes[to].ledger.adopt(mint, key, state, hash);
        }
        let Some((revision, row)) = self.nodes[n].row.clone() else {
            return;
        };
        if self.platform_cuts.contains(&n) {
            return;
        }
        let next = hand_over(&row, own, Successor(successor));
        let condition = Condition::Revision(revision);
        if let WriteOutcome::Written(revision) = now(write_with_retry(
            &self.table,
            "home",
            condition,
            next.encode().into(),
        )) {
            self.nodes[n].row = Some((revision, Rc::new(next)));
        }
    }
}
