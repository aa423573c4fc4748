//! Guards and backend servers: admission, work, onward calls and answers.

use super::*;

impl World {
    pub(super) fn reach(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        if let Some(loan) = self.calls[call].loan {
            self.calls[call].account = Some(RetryAccount::new(loan.retries));
        }
        match self.variant.control {
            Control::Now => self.admit(id, call),
            Control::None => self.fifo(id, call, usize::MAX),
            Control::Fixed => {
                let slots = self.scenario.services[self.servers[id].service].slots;
                self.fifo(id, call, slots as usize);
            }
        }
    }

    pub(super) fn fifo(&mut self, id: ServerId, call: CallId, bound: usize) {
        if self.servers[id].running < self.slots(id) {
            self.start(id, call);
        } else if self.servers[id].queue.len() < bound {
            self.servers[id].queue.push_back(call);
        } else {
            self.calls[call].failed = Some(Shed::Overload);
            self.send_back(id, call, false);
        }
    }

    pub(super) fn admit(&mut self, id: ServerId, call: CallId) {
        let now = self.instant();
        let deadline = self.later(self.roots[self.calls[call].root].deadline);
        let waiting = QueuedCall {
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
        let (decision, events) = admission.arrive(now, waiting);
        match decision {
            Decision::Start => self.admitted(id, Admitted::Start(CallToken(call as u64))),
            Decision::Shed(shed) => self.admitted(id, Admitted::Shed(CallToken(call as u64), shed)),
            Decision::Wait(_) => {}
        }
        self.deliver(id, events);
        if !self.servers[id].look && !self.servers[id].waiting.is_empty() {
            self.servers[id].look = true;
            self.after(10.0, Event::Look(id));
        }
    }

    pub(super) fn look(&mut self, id: ServerId) {
        let now = self.instant();
        let events = match &mut self.servers[id].admission {
            Some(admission) => admission.expire(now),
            None => Vec::new(),
        };
        self.deliver(id, events);
        self.servers[id].look = !self.servers[id].waiting.is_empty();
        if self.servers[id].look {
            self.after(10.0, Event::Look(id));
        }
    }

    pub(super) fn deliver(&mut self, id: ServerId, events: Vec<Admitted>) {
        for event in events {
            self.admitted(id, event);
        }
    }

    pub(super) fn admitted(&mut self, id: ServerId, event: Admitted) {
        match event {
            Admitted::Start(CallToken(call)) => {
                let call = call as CallId;
                self.servers[id].waiting.remove(&call);
                if !self.is_protected(call) {
                    self.servers[id].last_lesser = self.now;
                }
                self.start(id, call);
            }
            Admitted::Shed(CallToken(call), shed) => {
                let call = call as CallId;
                let since = self.servers[id].waiting.remove(&call);
                if shed == Shed::Overload && self.is_protected(call) {
                    self.note_early(id, since.map_or(self.now, |(_, since)| since));
                }
                self.calls[call].failed = Some(shed);
                self.send_back(id, call, false);
            }
        }
    }

    /// Counts an important call that was shed though something less important
    /// waits here or was started while it waited.
    pub(super) fn note_early(&mut self, id: ServerId, since: f64) {
        let server = &self.servers[id];
        let classes = &self.scenario.classes;
        let lesser_waits = server
            .waiting
            .values()
            .any(|(class, _)| !classes[*class].protected);
        if lesser_waits || server.last_lesser > since {
            self.shed_early += 1;
        }
    }

    /// Slots that the backend server really has now.
    pub(super) fn slots(&self, id: ServerId) -> usize {
        let slots = f64::from(self.scenario.services[self.servers[id].service].slots);
        let share = self.servers[id].cold_since.map_or(1.0, |since| {
            let age = (self.now - since) / 1000.0 / COLD_S;
            (COLD_SHARE + (1.0 - COLD_SHARE) * age).min(1.0)
        });
        (slots * share).max(1.0) as usize
    }

    pub(super) fn start(&mut self, id: ServerId, call: CallId) {
        if self.variant.control == Control::Now && self.servers[id].running >= self.slots(id) {
            // The backend server itself sheds.
            return self.ended(id, call, Outcome::Refused, false);
        }
        self.servers[id].running += 1;
        self.calls[call].running = true;
        self.calls[call].started = self.now;
        let service = self.servers[id].service;
        let spec = &self.scenario.services[service];
        let slow = self.disturbed && service == self.scenario.bottleneck();
        let factor = if slow {
            self.scenario.disturb.slow
        } else {
            1.0
        } * self.servers[id].factor;
        let spread = 0.5 + self.rng.random::<f64>();
        let work = spec.work_ms * factor * spread;
        self.worked_ms += work;
        self.roots[self.calls[call].root].work_ms += work;
        self.after(work, Event::Worked(call));
    }

    pub(super) fn worked(&mut self, call: CallId) {
        self.onward(call);
    }

    /// Makes the next onward call, or ends the call if there is none.
    pub(super) fn onward(&mut self, call: CallId) {
        let Some(id) = self.calls[call].target else {
            return;
        };
        let service = self.servers[id].service;
        let next = self.calls[call].next;
        let root = self.calls[call].root;
        let gone = self.variant.control == Control::Now && self.roots[root].ended;
        match self.scenario.services[service].onward.get(next) {
            Some(onward) if !gone => {
                let onward = *onward;
                self.calls[call].next += 1;
                let depth = self.calls[call].depth + 1;
                let child = self.new_call(root, Some(call), onward, depth, id);
                self.attempt(child, None);
            }
            _ => self.finish(call, !gone),
        }
    }

    /// The backend server ends a call.
    pub(super) fn finish(&mut self, call: CallId, whole: bool) {
        if !self.calls[call].running {
            return;
        }
        let Some(id) = self.calls[call].target else {
            return;
        };
        self.servers[id].running -= 1;
        self.calls[call].running = false;
        let outcome = if whole {
            Outcome::Answered
        } else {
            Outcome::Failed
        };
        self.ended(id, call, outcome, whole);
    }

    pub(super) fn ended(&mut self, id: ServerId, call: CallId, outcome: Outcome, whole: bool) {
        let now = self.instant();
        let met = std::mem::take(&mut self.calls[call].met);
        let mut events = Vec::new();
        if let Some(admission) = &mut self.servers[id].admission {
            admission.record_onward(now, CallToken(call as u64), &met, whole);
            events = admission.finish(now, CallToken(call as u64), outcome);
        }
        if outcome == Outcome::Refused {
            self.calls[call].failed = Some(Shed::Overload);
        }
        self.send_back(id, call, whole);
        self.deliver(id, events);
        while self.variant.control != Control::Now
            && self.servers[id].running < self.slots(id)
            && let Some(next) = self.servers[id].queue.pop_front()
        {
            self.start(id, next);
        }
    }

    pub(super) fn send_back(&mut self, id: ServerId, call: CallId, whole: bool) {
        let now = self.instant();
        if let Some(admission) = &self.servers[id].admission {
            self.calls[call].news = admission.status(now);
        }
        let way = self.way(self.calls[call].entry, id);
        self.after(way, Event::Back(call, whole));
    }
}
