//! Entries: the destination of a call and the handling of its answer.

use super::*;

impl World {
    pub(super) fn enter(&mut self, caller: usize, n: usize, first: bool) {
        if !self.nodes[n].up {
            self.callers[caller].unanswered = true;
            return self.schedule_retry(caller);
        }
        let key = self.callers[caller].key.clone();
        let target = match self.find_destination(n, &key) {
            Ok(_) if self.misroute => self.nodes[self.rng.random_range(0..NODES)].instance,
            Ok(target) => target,
            Err(refusal) => return self.refuse(caller, first, refusal),
        };
        let attempt = Attempt::with_id(AttemptId::new(self.rng.random()));
        let id = attempt.id();
        let from = self.nodes[n].instance;
        self.nodes[n].pending.insert(
            id,
            PendingAttempt {
                attempt: attempt.mark_sent(),
                caller,
                first,
            },
        );
        let to = self.node_at(target);
        let event = Event::Call {
            from,
            to: target,
            attempt: id,
            key,
        };
        if to == n {
            self.schedule(0, event);
        } else {
            self.message(n, to, event);
        }
        self.schedule(
            DEADLINE_MS,
            Event::Timeout {
                at: from,
                attempt: id,
            },
        );
    }

    /// Finds the destination of a key; rereads the row if no instance owns the key.
    pub(super) fn find_destination(
        &mut self,
        n: usize,
        key: &OnceKey,
    ) -> Result<Instance, Refusal> {
        let find = |node: &Node| {
            destination(
                key,
                node.row.as_ref().map(|(_, row)| &**row),
                &node.view,
                &service(),
            )
        };
        let mut found = find(&self.nodes[n]);
        let mut fresh = false;
        if found == Destination::Refused(OnceRefusal::NotOwned)
            && !self.platform_cuts.contains(&n)
            && let Ok(row) = now(self.table.read("home"))
        {
            fresh = true;
            if let Some(row) = row {
                self.decode_row(n, row.revision, &row.content);
            }
            found = find(&self.nodes[n]);
        }
        match found {
            Destination::Instance(instance) => Ok(instance),
            Destination::Refused(refuse) => {
                let refusal = Attempt::plan().refuse_once(refuse);
                Err(if fresh && refuse == OnceRefusal::NotOwned {
                    refusal.with_key_scope()
                } else {
                    refusal
                })
            }
        }
    }

    /// Delivers a refusal to a caller, with the verdict weakened as the entry does.
    pub(super) fn refuse(&mut self, caller: usize, first: bool, refusal: Refusal) {
        let unsure = !first && refusal.scope() == VerdictScope::Attempt;
        let refusal = refusal.with_earlier(if unsure {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        });
        self.deliver(caller, &Err(refusal));
    }

    pub(super) fn reply(&mut self, to: Instance, attempt: AttemptId, result: CallResult) {
        let Some(n) = self.live_node(to) else { return };
        let Some(out) = self.nodes[n].pending.remove(&attempt) else {
            return;
        };
        match result {
            Ok(answer) => self.deliver(out.caller, &Ok(answer)),
            Err(r) => {
                let mut relayed =
                    out.attempt
                        .relay_refusal(attempt, r.verdict(), r.reason(), &r.detail);
                if r.scope() == VerdictScope::Key {
                    relayed = relayed.with_key_scope();
                }
                self.refuse(out.caller, out.first, relayed);
            }
        }
    }

    pub(super) fn timeout(&mut self, at: Instance, attempt: AttemptId) {
        let Some(n) = self.live_node(at) else { return };
        if let Some(out) = self.nodes[n].pending.remove(&attempt) {
            let refusal = out.attempt.abandon(Reason::Timeout, "");
            self.refuse(out.caller, out.first, refusal);
        }
    }
}
