//! Callers: their attempts and the answers they receive.

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
            self.schedule(
                8,
                Event::Enter {
                    caller,
                    node,
                    first,
                },
            );
        } else {
            self.schedule_retry(caller);
        }
    }

    pub(super) fn schedule_retry(&mut self, caller: usize) {
        if self.callers[caller].attempts < ATTEMPTS {
            let wait = self.rng.random_range(200..8000);
            self.schedule(wait, Event::Send(caller));
        }
    }

    pub(super) fn deliver(&mut self, caller: usize, result: &CallResult) {
        let key = self.callers[caller].key.clone();
        match result {
            Ok(answer) => {
                if answer.body.as_deref() != Some(key.to_string().as_bytes()) {
                    self.violations
                        .push(format!("caller {caller} received another caller's answer"));
                }
                self.callers[caller].answered = true;
                self.callers[caller].done = true;
            }
            Err(refusal) => {
                let verdict = refusal.verdict();
                self.callers[caller].last_verdict = Some(verdict);
                let ran = self.runs.get(&key).copied().unwrap_or(0) > 0;
                if verdict == Verdict::NotRun && ran {
                    self.violations.push(format!(
                        "{key} was reported as not run, but ran: {:?}",
                        refusal.reason()
                    ));
                }
                if verdict == Verdict::NotRun && self.rng.random_bool(0.2) {
                    // This caller accepts the verdict and does not retry.
                    self.callers[caller].done = true;
                }
                self.schedule_retry(caller);
            }
        }
    }
}
