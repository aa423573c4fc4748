//! Guards and backend servers: admission, work, onward calls and answers.

use super::*;

impl World {
    pub(super) fn reach_target(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        if let Some(grant) = self.calls[call].grant {
            self.calls[call].account = Some(RetryAccount::new(grant.retries));
        }
        match self.variant.control {
            Control::Policy => self.admit(id, call),
            Control::Unlimited => self.enqueue(id, call, usize::MAX),
            Control::FixedLimit => {
                let slots = self.scenario.services[self.servers[id].service].slots;
                self.enqueue(id, call, slots as usize);
            }
        }
    }

    pub(super) fn enqueue(&mut self, id: ServerId, call: CallId, bound: usize) {
        if self.servers[id].running < self.current_slots(id) {
            self.start_call(id, call);
        } else if self.servers[id].queue.len() < bound {
            self.servers[id].queue.push_back(call);
        } else {
            self.calls[call].shed_reason = Some(Shed::Overload);
            self.send_answer(id, call, false);
        }
    }

    pub(super) fn admit(&mut self, id: ServerId, call: CallId) {
        let now = self.instant();
        let deadline = self.instant_at(self.roots[self.calls[call].root].deadline);
        let queued_call = QueuedCall {
            token: CallToken(call as u64),
            priority: self.priority(call),
            workspace: None,
            deadline,
            expires: deadline,
            may_wait: true,
        };
        let class = self.roots[self.calls[call].root].class;
        self.servers[id].waiting.insert(call, (class, self.now));
        let Some(admission) = &mut self.servers[id].admission else {
            return;
        };
        let (decision, events) = admission.arrive(now, queued_call);
        match decision {
            Decision::Start => self.handle_admission(id, Admitted::Start(CallToken(call as u64))),
            Decision::Shed(shed) => {
                self.handle_admission(id, Admitted::Shed(CallToken(call as u64), shed))
            }
            Decision::Wait(_) => {}
        }
        self.handle_admissions(id, events);
        if !self.servers[id].expiry_scheduled && !self.servers[id].waiting.is_empty() {
            self.servers[id].expiry_scheduled = true;
            self.schedule_after(10.0, Event::ExpireQueue(id));
        }
    }

    pub(super) fn expire_queue(&mut self, id: ServerId) {
        let now = self.instant();
        let events = match &mut self.servers[id].admission {
            Some(admission) => admission.expire(now),
            None => Vec::new(),
        };
        self.handle_admissions(id, events);
        self.servers[id].expiry_scheduled = !self.servers[id].waiting.is_empty();
        if self.servers[id].expiry_scheduled {
            self.schedule_after(10.0, Event::ExpireQueue(id));
        }
    }

    pub(super) fn handle_admissions(&mut self, id: ServerId, events: Vec<Admitted>) {
        for event in events {
            self.handle_admission(id, event);
        }
    }

    pub(super) fn handle_admission(&mut self, id: ServerId, event: Admitted) {
        match event {
            Admitted::Start(CallToken(call)) => {
                let call = call as CallId;
                self.servers[id].waiting.remove(&call);
                if !self.is_protected(call) {
                    self.servers[id].last_unprotected_start = self.now;
                }
                self.start_call(id, call);
            }
            Admitted::Shed(CallToken(call), shed) => {
                let call = call as CallId;
                let since = self.servers[id].waiting.remove(&call);
                if shed == Shed::Overload && self.is_protected(call) {
                    self.count_early_shed(id, since.map_or(self.now, |(_, since)| since));
                }
                self.calls[call].shed_reason = Some(shed);
                self.send_answer(id, call, false);
            }
        }
    }

    /// Counts a protected call that was shed though an unprotected one waits here or
    /// started while it waited.
    pub(super) fn count_early_shed(&mut self, id: ServerId, since: f64) {
        let server = &self.servers[id];
        let classes = &self.scenario.classes;
        let unprotected_waits = server
            .waiting
            .values()
            .any(|(class, _)| !classes[*class].protected);
        if unprotected_waits || server.last_unprotected_start > since {
            self.shed_early += 1;
        }
    }

    /// Returns the slots that the backend server has now, fewer while it warms up.
    pub(super) fn current_slots(&self, id: ServerId) -> usize {
        let slots = f64::from(self.scenario.services[self.servers[id].service].slots);
        let share = self.servers[id].restart_ms.map_or(1.0, |since| {
            let age = (self.now - since) / 1000.0 / WARMUP_SECONDS;
            (INITIAL_SLOT_SHARE + (1.0 - INITIAL_SLOT_SHARE) * age).min(1.0)
        });
        (slots * share).max(1.0) as usize
    }

    pub(super) fn start_call(&mut self, id: ServerId, call: CallId) {
        if self.variant.control == Control::Policy
            && self.servers[id].running >= self.current_slots(id)
        {
            // The backend server itself refuses the call.
            return self.release_slot(id, call, Outcome::Refused, false);
        }
        self.servers[id].running += 1;
        self.calls[call].running = true;
        self.calls[call].started = self.now;
        let service = self.servers[id].service;
        let spec = &self.scenario.services[service];
        let slow = self.disturbed && service == self.scenario.bottleneck();
        let factor = if slow {
            self.scenario.disturbance.slowdown
        } else {
            1.0
        } * self.servers[id].work_factor;
        let spread = 0.5 + self.rng.random::<f64>();
        let work_ms = spec.work_ms * factor * spread;
        self.total_work_ms += work_ms;
        self.roots[self.calls[call].root].work_ms += work_ms;
        self.schedule_after(work_ms, Event::WorkDone(call));
    }

    pub(super) fn finish_work(&mut self, call: CallId) {
        self.call_next_dependency(call);
    }

    /// Makes the next onward call, or finishes the call if there is none or its
    /// request has ended.
    pub(super) fn call_next_dependency(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        let service = self.servers[id].service;
        let next = self.calls[call].next_dependency;
        let root = self.calls[call].root;
        let is_ended = self.variant.control == Control::Policy && self.roots[root].is_ended;
        match self.scenario.services[service].dependencies.get(next) {
            Some(onward) if !is_ended => {
                let onward = *onward;
                self.calls[call].next_dependency += 1;
                let depth = self.calls[call].depth + 1;
                let child = self.new_call(root, Some(call), onward, depth, id);
                self.attempt(child, None);
            }
            _ => self.finish_call(call, !is_ended),
        }
    }

    /// Finishes a running call at the backend server.
    pub(super) fn finish_call(&mut self, call: CallId, is_complete: bool) {
        if !self.calls[call].running {
            return;
        }
        let Some(id) = self.calls[call].target else {
            return;
        };
        self.servers[id].running -= 1;
        self.calls[call].running = false;
        let outcome = if is_complete {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        self.release_slot(id, call, outcome, is_complete);
    }

    pub(super) fn release_slot(
        &mut self,
        id: ServerId,
        call: CallId,
        outcome: Outcome,
        is_complete: bool,
    ) {
        let now = self.instant();
        let onward_outcomes = std::mem::take(&mut self.calls[call].onward_outcomes);
        let mut events = Vec::new();
        if let Some(admission) = &mut self.servers[id].admission {
            admission.record_onward(now, CallToken(call as u64), &onward_outcomes, is_complete);
            events = admission.finish(now, CallToken(call as u64), outcome);
        }
        if outcome == Outcome::Refused {
            self.calls[call].shed_reason = Some(Shed::Overload);
        }
        self.send_answer(id, call, is_complete);
        self.handle_admissions(id, events);
        while self.variant.control != Control::Policy
            && self.servers[id].running < self.current_slots(id)
            && let Some(next) = self.servers[id].queue.pop_front()
        {
            self.start_call(id, next);
        }
    }

    pub(super) fn send_answer(&mut self, id: ServerId, call: CallId, is_complete: bool) {
        let now = self.instant();
        if let Some(admission) = &self.servers[id].admission {
            self.calls[call].guard_status = admission.status(now);
        }
        let delay_ms = self.delay_ms(self.calls[call].entry, id);
        self.schedule_after(delay_ms, Event::Answer(call, is_complete));
    }
}
