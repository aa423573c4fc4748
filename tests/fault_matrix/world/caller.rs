//! Callers: what they send, take and ask again.

use super::*;

impl World {
    pub(super) fn send(&mut self, caller: usize) {
        let c = &mut self.callers[caller];
        if c.done {
            return;
        }
        c.attempts += 1;
        let first = c.attempts == 1 && caller.is_multiple_of(2);
        let node = self.rng.random_range(0..NODES);
        if self.nodes[node].up {
            self.after(
                8,
                Event::Enter {
                    caller,
                    node,
                    first,
                },
            );
        } else {
            self.again(caller);
        }
    }

    pub(super) fn again(&mut self, caller: usize) {
        if self.callers[caller].attempts < ATTEMPTS {
            let wait = self.rng.random_range(200..8000);
            self.after(wait, Event::Send(caller));
        }
    }

    pub(super) fn tell(&mut self, caller: usize, result: &Answered) {
        let key = self.callers[caller].key.clone();
        match result {
            Ok(kept) => {
                if kept.body.as_deref() != Some(key.to_string().as_bytes()) {
                    self.violations
                        .push(format!("caller {caller} got another's answer"));
                }
                self.callers[caller].answered = true;
                self.callers[caller].done = true;
            }
            Err(refusal) => {
                let verdict = refusal.verdict();
                self.callers[caller].told = Some(verdict);
                let ran = self.runs.get(&key).copied().unwrap_or(0) > 0;
                if verdict == Verdict::NotRun && ran {
                    self.violations.push(format!(
                        "not-run was said of {key}, which ran: {:?}",
                        refusal.reason()
                    ));
                }
                if verdict == Verdict::NotRun && self.rng.random_bool(0.2) {
                    // This caller takes the word and never asks again.
                    self.callers[caller].done = true;
                }
                self.again(caller);
            }
        }
    }
}
