//! Guards: claims, ledgers, executions and their answers.

use super::*;

impl World {
    pub(super) fn answer(
        &mut self,
        at: Instance,
        to: Instance,
        attempt: AttemptId,
        result: CallResult,
    ) {
        let (from, n) = (self.node_at(at), self.node_at(to));
        let event = Event::Reply {
            to,
            attempt,
            result,
        };
        if from == n {
            self.schedule(0, event);
        } else {
            self.message(from, n, event);
        }
    }

    pub(super) fn call(&mut self, from: Instance, to: Instance, attempt: AttemptId, key: &OnceKey) {
        let Some(n) = self.live_node(to) else {
            // A new instance at the address refuses calls for its predecessor.
            let n = self.node_at(to);
            if self.nodes[n].up {
                let refusal = Attempt::with_id(attempt).refuse(Reason::Replaced, "");
                self.answer(to, from, attempt, Err(refusal));
            }
            return;
        };
        let planned = Attempt::with_id(attempt);
        let own_row = self.nodes[n].row.as_ref().map(|(_, row)| &**row);
        if let Err(refuse) = check_owner(key, to, own_row) {
            return self.answer(to, from, attempt, Err(planned.refuse_once(refuse)));
        }
        if self.nodes[n].leaving_since.is_some() && !self.nodes[n].ledger.has_begun(key) {
            let refusal = planned.refuse(Reason::Shed(Shed::Leaving), "");
            return self.answer(to, from, attempt, Err(refusal));
        }
        let mint = self.mint();
        let hash = key.hash();
        let begin = self.nodes[n].ledger.begin(mint, key, hash);
        match begin {
            OnceDecision::Start | OnceDecision::Resume => {
                self.nodes[n]
                    .waiters
                    .entry(key.clone())
                    .or_default()
                    .push((from, attempt));
                let resumed = begin == OnceDecision::Resume;
                self.schedule(
                    1,
                    Event::Claim {
                        at: to,
                        key: key.clone(),
                        resumed,
                    },
                );
            }
            OnceDecision::Attach => {
                self.nodes[n]
                    .waiters
                    .entry(key.clone())
                    .or_default()
                    .push((from, attempt));
            }
            OnceDecision::Answer(answer) => self.answer(to, from, attempt, Ok(answer)),
            OnceDecision::Refuse(refuse) => {
                self.answer(to, from, attempt, Err(planned.refuse_once(refuse)));
            }
        }
    }

    pub(super) fn claim(&mut self, at: Instance, key: &OnceKey, resumed: bool) {
        let Some(n) = self.live_node(at) else { return };
        if let OnceKey::Opaque(_) = key
            && let Err((refuse, keep)) = self.try_claim(n, at, key, resumed)
        {
            if keep {
                self.nodes[n].ledger.release(key);
            } else {
                self.nodes[n].ledger.remove(key);
            }
            let refusal = Attempt::plan().refuse_once(refuse);
            return self.answer_all(at, key, &Err(refusal));
        }
        if self.shedding && self.rng.random_bool(0.5) {
            self.nodes[n].ledger.release(key);
            let refusal = Attempt::plan()
                .refuse(Reason::Shed(Shed::Overload), "")
                .with_key_scope();
            return self.answer_all(at, key, &Err(refusal));
        }
        self.schedule(
            1,
            Event::Start {
                at,
                key: key.clone(),
            },
        );
    }

    pub(super) fn try_claim(
        &mut self,
        n: usize,
        own: Instance,
        key: &OnceKey,
        resumed: bool,
    ) -> Result<(), (OnceRefusal, bool)> {
        if self.platform_cuts.contains(&n) {
            return Err((OnceRefusal::NoPlatform, true));
        }
        let nonce = Nonce(self.rng.random());
        let claim = Claim { owner: own, nonce };
        let content = Bytes::from(serde_json::to_vec(&claim).expect("JSON"));
        let name = claim_row_key(&service(), key);
        match now(write_with_retry(
            &self.table,
            &name,
            Condition::Absent,
            content,
        )) {
            WriteOutcome::Written(_) => Ok(()),
            WriteOutcome::Conflict(row) => {
                let found = row
                    .and_then(|row| serde_json::from_slice(&row.content).ok())
                    .expect("a claim");
                match check_claim(found, own, nonce) {
                    ClaimCheck::Won => Ok(()),
                    ClaimCheck::OwnEarlier if resumed => Ok(()),
                    ClaimCheck::OwnEarlier => Err((OnceRefusal::Forgotten, false)),
                    ClaimCheck::Other(_) => Err((OnceRefusal::WrongOwner, false)),
                }
            }
            WriteOutcome::NotSent(_) | WriteOutcome::Unknown(_) => {
                Err((OnceRefusal::NoPlatform, true))
            }
        }
    }

    pub(super) fn start(&mut self, at: Instance, key: &OnceKey) {
        let Some(n) = self.live_node(at) else { return };
        if let Some(left) = self.nodes[n].leaving_since
            && self.time > left + LEAVE_MS
            && self.nodes[n].paused_until < left
        {
            self.violations.push(format!(
                "{key} started {} ms after its node began to leave",
                self.time - left
            ));
        }
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.violations.push(format!("{key} ran {runs} times"));
        }
        self.running.insert((at, key.clone()));
        let work = self.rng.random_range(5..60);
        self.schedule(
            work,
            Event::Finish {
                at,
                key: key.clone(),
            },
        );
    }

    pub(super) fn finish(&mut self, at: Instance, key: &OnceKey) {
        let Some(n) = self.live_node(at) else { return };
        self.running.remove(&(at, key.clone()));
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: Some(key.to_string().into_bytes().into()),
        };
        self.nodes[n].ledger.finish(key, answer.clone());
        self.answer_all(at, key, &Ok(answer));
    }

    pub(super) fn answer_all(&mut self, at: Instance, key: &OnceKey, result: &CallResult) {
        let Some(n) = self.live_node(at) else { return };
        for (to, attempt) in self.nodes[n].waiters.remove(key).unwrap_or_default() {
            self.answer(at, to, attempt, result.clone());
        }
    }
}
