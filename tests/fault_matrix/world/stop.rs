//! A planned stop and what it hands over.

use super::*;

impl World {
    pub(super) fn stop_step(&mut self, at: Instance, step: u8) {
        let Some(n) = self.number(at) else { return };
        let instant = self.instant();
        match step {
            0 if self.nodes[n].left_at.is_none() => {
                self.nodes[n].left_at = Some(self.time);
                self.nodes[n]
                    .view
                    .update_own(instant, |own| own.state = MemberState::Leaving);
                self.after(1500, Event::StopStep { at, step: 1 });
            }
            1 => {
                // A call that is being claimed is under way too.
                let busy = !self.nodes[n].attached.is_empty();
                let next = if busy { 1 } else { 2 };
                self.after(20, Event::StopStep { at, step: next });
            }
            2 => {
                self.nodes[n].ledger.stop();
                self.after(1, Event::StopStep { at, step: 3 });
            }
            3 => {
                self.hand_over(n, at);
                self.after(1, Event::StopStep { at, step: 4 });
            }
            4 => {
                if self.running.iter().any(|(i, _)| *i == at) {
                    self.violations.push("a planned stop cut a call".into());
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
        let heir = self.nodes[n]
            .view
            .serving(&service())
            .map(|m| m.instance)
            .find(|i| *i != own);
        let Some(heir) = heir else { return };
        let Some(to) = self.number(heir) else { return };
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
        let next = hand_over(&row, own, Successor(heir));
        let condition = Condition::Revision(revision);
        if let Settled::Written(revision) =
            now(settle(&self.table, "home", condition, next.encode().into()))
        {
            self.nodes[n].row = Some((revision, Rc::new(next)));
        }
    }
}
