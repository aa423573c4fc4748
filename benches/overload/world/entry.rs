//! Entries: attempts of calls, retries and outcomes.

use super::*;

impl World {
    pub(super) fn new_call(
        &mut self,
        root: usize,
        parent: Option<CallId>,
        service: usize,
        depth: u8,
        entry: ServerId,
    ) -> CallId {
        self.calls.push(Call {
            root,
            parent,
            service,
            depth,
            entry,
            target: None,
            attempts: 0,
            grant: None,
            account: None,
            next_dependency: 0,
            started: 0.0,
            running: false,
            shed_reason: None,
            is_abandoned: false,
            is_closed: false,
            guard_status: GuardStatus::default(),
            onward_outcomes: Vec::new(),
        });
        self.calls.len() - 1
    }

    pub(super) fn priority(&self, call: CallId) -> Priority {
        let c = &self.calls[call];
        let root = &self.roots[c.root];
        Priority::new(ClassRank::new(root.class), Depth::new(c.depth), root.id)
    }

    pub(super) fn is_protected(&self, call: CallId) -> bool {
        self.scenario.classes[self.roots[self.calls[call].root].class].protected
    }

    pub(super) fn with_retry_account<T>(
        &mut self,
        call: CallId,
        operation: impl FnOnce(&mut RetryAccount) -> T,
    ) -> Option<T> {
        let c = &self.calls[call];
        let account = match c.parent {
            Some(parent) => self.calls[parent].account.as_mut(),
            None => self.roots[c.root].account.as_mut(),
        };
        account.map(operation)
    }

    pub(super) fn attempt(&mut self, call: CallId, avoid: Option<ServerId>) {
        let entry = self.calls[call].entry;
        let service = self.calls[call].service;
        let target = match self.variant.control {
            Control::Policy => match self.choose(call, avoid) {
                Ok(target) => target,
                Err(level) => {
                    self.calls[call].shed_reason = level.map(|_| Shed::Overload);
                    return self.give_up(call);
                }
            },
            // The server that reports the lesser load, of two chosen at random, or the
            // greater one while reports are false.
            Control::Unlimited | Control::FixedLimit => {
                let sign = if self.scenario.disturbance.false_load && self.disturbed {
                    -1.0
                } else {
                    1.0
                };
                let servers = self.by_service[service].clone();
                let a = servers[self.rng.random_range(0..servers.len())];
                let b = servers[self.rng.random_range(0..servers.len())];
                let load = |s: &Server| (s.running + s.queue.len()) as f64 * sign;
                if load(&self.servers[b]) < load(&self.servers[a]) {
                    b
                } else {
                    a
                }
            }
        };
        let c = &mut self.calls[call];
        c.attempts += 1;
        c.target = Some(target);
        c.next_dependency = 0;
        c.shed_reason = None;
        c.onward_outcomes.clear();
        c.account = None;
        if self.variant.control != Control::Policy {
            let attempt = c.attempts;
            self.schedule_after(
                self.scenario.deadline_ms / f64::from(ATTEMPTS_PER_LAYER),
                Event::Timeout(call, attempt),
            );
        }
        if self.variant.control == Control::Policy {
            let grant = self.with_retry_account(call, RetryAccount::grant);
            self.calls[call].grant = grant;
        }
        let silent = self.servers[entry].silent_links.contains(&target);
        if silent {
            self.schedule_after(SILENCE_TIMEOUT_MS, Event::ConnectionLost(call));
        } else if self.is_partitioned(entry, target) {
            self.schedule_after(CONNECT_TIMEOUT_MS, Event::ConnectionLost(call));
        } else {
            self.schedule_after(self.delay_ms(entry, target), Event::Reach(call));
        }
    }

    pub(super) fn is_partitioned(&self, a: ServerId, b: ServerId) -> bool {
        self.disturbed
            && self.scenario.disturbance.partition
            && self.servers[a].centre != self.servers[b].centre
    }

    pub(super) fn delay_ms(&self, a: ServerId, b: ServerId) -> f64 {
        if a == b {
            0.0
        } else if self.servers[a].centre == self.servers[b].centre {
            LOCAL_DELAY_MS
        } else {
            REMOTE_DELAY_MS
        }
    }

    pub(super) fn call_needs(&self, call: CallId, avoid: Option<ServerId>) -> CallNeeds {
        CallNeeds {
            level: self.priority(call).level(),
            protected: self.is_protected(call),
            avoid: avoid.map(|id| self.servers[id].instance),
        }
    }

    pub(super) fn choose(
        &mut self,
        call: CallId,
        avoid: Option<ServerId>,
    ) -> Result<ServerId, Option<Level>> {
        let now = self.instant();
        let mut needs = self.call_needs(call, avoid);
        if self.variant.disabled == Disabled::SourceShedding {
            needs.level = Level::from_raw(u32::MAX);
        }
        let c = &self.calls[call];
        let table = self.servers[c.entry]
            .tables
            .get_mut(&c.service)
            .expect("table exists");
        match table.choose(now, needs, &mut self.rng) {
            Pick::Target(instance) | Pick::Wait(instance) => Ok(self.by_instance[&instance]),
            Pick::Refused(level) => Err(Some(level)),
            Pick::NoTarget => Err(None),
        }
    }

    pub(super) fn report(&mut self, call: CallId, report: AttemptReport) {
        let now = self.instant();
        if self.variant.disabled == Disabled::Ejection && report == AttemptReport::Failed {
            return self.report(call, AttemptReport::Abandoned);
        }
        let c = &self.calls[call];
        let Some(target) = c.target else { return };
        let instance = self.servers[target].instance;
        if let Some(table) = self.servers[c.entry].tables.get_mut(&c.service) {
            table.report(now, instance, report);
        }
    }

    /// Handles a connection that went silent or couldn't be made; the next one is new.
    pub(super) fn lose_connection(&mut self, call: CallId) {
        let (entry, target) = (self.calls[call].entry, self.calls[call].target);
        if let Some(target) = target {
            self.servers[entry].silent_links.remove(&target);
        }
        if self.variant.control == Control::Policy {
            self.report(call, AttemptReport::Failed);
            if let Some(grant) = self.calls[call].grant.take() {
                self.with_retry_account(call, |account| account.discard(grant.id));
            }
        }
        self.retry_or_give_up(call, Verdict::MayHaveRun, false);
    }

    /// Retries a call that exceeded its share of the deadline, without policy.
    ///
    /// The abandoned attempt keeps running.
    pub(super) fn time_out(&mut self, call: CallId, attempt: u32) {
        let c = &self.calls[call];
        if c.is_closed || c.is_abandoned || c.attempts != attempt {
            return;
        }
        let (root, parent, service, depth, entry) = (c.root, c.parent, c.service, c.depth, c.entry);
        self.calls[call].is_abandoned = true;
        let retry = self.new_call(root, parent, service, depth, entry);
        self.calls[retry].attempts = attempt;
        self.calls[retry].target = self.calls[call].target;
        self.retry_or_give_up(retry, Verdict::MayHaveRun, false);
    }

    /// Handles an answer or refusal that reaches the entry.
    pub(super) fn receive_answer(&mut self, call: CallId, is_complete: bool) {
        if self.calls[call].is_abandoned || self.calls[call].is_closed {
            return;
        }
        if self.calls[call]
            .target
            .is_some_and(|t| self.is_partitioned(self.calls[call].entry, t))
        {
            return self.lose_connection(call);
        }
        if self.variant.control == Control::Policy {
            let guard_status = self.calls[call].guard_status;
            self.report(call, AttemptReport::Responded(guard_status));
            let remaining = match &mut self.calls[call].account {
                Some(account) => account.close(),
                None => self.calls[call]
                    .grant
                    .map_or(Retries::new(0), |grant| grant.retries),
            };
            if let Some(grant) = self.calls[call].grant.take() {
                self.with_retry_account(call, |account| account.reclaim(grant.id, remaining));
            }
        }
        if is_complete {
            let key = (self.calls[call].entry, self.calls[call].service);
            self.ratios.entry(key).or_default().record_answer();
            return self.complete_call(call);
        }
        let overload = self.calls[call].shed_reason.is_some();
        let verdict = if overload {
            Verdict::NotRun
        } else {
            Verdict::Ran
        };
        self.retry_or_give_up(call, verdict, overload);
    }

    pub(super) fn retry_or_give_up(&mut self, call: CallId, verdict: Verdict, overload: bool) {
        let root = self.calls[call].root;
        let left_ms = self.roots[root].deadline - self.now;
        if left_ms <= 0.0 || (self.variant.control == Control::Policy && self.roots[root].is_ended)
        {
            return self.give_up(call);
        }
        let target = self.calls[call].target;
        if self.variant.control != Control::Policy {
            if self.calls[call].attempts < ATTEMPTS_PER_LAYER {
                self.roots[root].retries += 1;
                return self.attempt(call, target);
            }
            return self.give_up(call);
        }
        let failure = FailedAttempt {
            verdict,
            overload,
            time_left: Duration::from_secs_f64(left_ms / 1000.0),
        };
        let key = (self.calls[call].entry, self.calls[call].service);
        let mut ratio = self.ratios.get(&key).copied().unwrap_or_default();
        if self.variant.disabled == Disabled::RetryRatio {
            ratio = RetryRatio::default();
        }
        let decision = self.with_retry_account(call, |account| {
            decide_retry(failure, RepeatSafety::Safe, account, || ratio.try_take())
        });
        self.ratios.insert(key, ratio);
        if decision == Some(RetryDecision::Retry) {
            self.roots[root].retries += 1;
            self.attempt(call, target);
        } else {
            self.give_up(call);
        }
    }

    pub(super) fn give_up(&mut self, call: CallId) {
        self.calls[call].is_closed = true;
        let shed = self.calls[call].shed_reason;
        self.report_outcome(call, shed.is_some_and(Shed::is_overload));
        match self.calls[call].parent {
            Some(parent) => self.finish_call(parent, false),
            None => self.finish_root(self.calls[call].root, false),
        }
    }

    /// Reports the outcome of an onward call to its parent.
    pub(super) fn report_outcome(&mut self, call: CallId, refused: bool) {
        let Some(parent) = self.calls[call].parent else {
            return;
        };
        if self.variant.control != Control::Policy
            || self.variant.disabled == Disabled::OnwardRefusals
        {
            return;
        }
        let now = self.instant();
        let c = &self.calls[call];
        let demand = self.servers[c.entry].tables[&c.service].demand(now);
        let service = self.names[self.calls[call].service].clone();
        self.calls[parent].onward_outcomes.push(OnwardOutcome {
            service,
            demand,
            refused,
            failed: refused,
        });
    }

    pub(super) fn complete_call(&mut self, call: CallId) {
        self.calls[call].is_closed = true;
        self.report_outcome(call, false);
        match self.calls[call].parent {
            Some(parent) => self.call_next_dependency(parent),
            None => self.finish_root(self.calls[call].root, true),
        }
    }
}
