//! Entries: attempts at calls, their retries, and what came of them.

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
            loan: None,
            account: None,
            next: 0,
            started: 0.0,
            running: false,
            failed: None,
            orphan: false,
            closed: false,
            news: GuardStatus::default(),
            met: Vec::new(),
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

    pub(super) fn with_account<T>(
        &mut self,
        call: CallId,
        use_it: impl FnOnce(&mut RetryAccount) -> T,
    ) -> Option<T> {
        let c = &self.calls[call];
        let account = match c.parent {
            Some(parent) => self.calls[parent].account.as_mut(),
            None => self.roots[c.root].account.as_mut(),
        };
        account.map(use_it)
    }

    pub(super) fn attempt(&mut self, call: CallId, avoid: Option<ServerId>) {
        let entry = self.calls[call].entry;
        let service = self.calls[call].service;
        let target = match self.variant.control {
            Control::Now => match self.choose(call, avoid) {
                Ok(target) => target,
                Err(level) => {
                    self.calls[call].failed = level.map(|_| Shed::Overload);
                    return self.give_up(call);
                }
            },
            // Without control, the server that reports the least load.
            Control::None | Control::Fixed => {
                let sign = if self.scenario.disturb.mislead && self.disturbed {
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
        c.next = 0;
        c.failed = None;
        c.met.clear();
        c.account = None;
        if self.variant.control != Control::Now {
            let attempt = c.attempts;
            self.after(
                self.scenario.deadline_ms / f64::from(LAYER_ATTEMPTS),
                Event::Timeout(call, attempt),
            );
        }
        if self.variant.control == Control::Now {
            let loan = self.with_account(call, RetryAccount::grant);
            self.calls[call].loan = loan;
        }
        let silent = self.servers[entry].silent.contains(&target);
        if silent {
            self.after(SILENT_MS, Event::Lost(call));
        } else if self.is_cut(entry, target) {
            self.after(CONNECT_MS, Event::Lost(call));
        } else {
            self.after(self.way(entry, target), Event::At(call));
        }
    }

    pub(super) fn is_cut(&self, a: ServerId, b: ServerId) -> bool {
        self.disturbed
            && self.scenario.disturb.cut
            && self.servers[a].centre != self.servers[b].centre
    }

    pub(super) fn way(&self, a: ServerId, b: ServerId) -> f64 {
        if a == b {
            0.0
        } else if self.servers[a].centre == self.servers[b].centre {
            NEAR_MS
        } else {
            FAR_MS
        }
    }

    pub(super) fn want(&self, call: CallId, avoid: Option<ServerId>) -> CallNeeds {
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
        let mut want = self.want(call, avoid);
        if self.variant.off == Off::Early {
            want.level = Level::from_raw(u32::MAX);
        }
        let c = &self.calls[call];
        let table = self.servers[c.entry]
            .tables
            .get_mut(&c.service)
            .expect("a table");
        match table.choose(now, want, &mut self.rng) {
            Pick::Target(instance) | Pick::Wait(instance) => Ok(self.by_instance[&instance]),
            Pick::Refused(level) => Err(Some(level)),
            Pick::NoTarget => Err(None),
        }
    }

    pub(super) fn report(&mut self, call: CallId, report: AttemptReport) {
        let now = self.instant();
        if self.variant.off == Off::Eject && report == AttemptReport::Failed {
            return self.report(call, AttemptReport::Abandoned);
        }
        let c = &self.calls[call];
        let Some(target) = c.target else { return };
        let instance = self.servers[target].instance;
        if let Some(table) = self.servers[c.entry].tables.get_mut(&c.service) {
            table.report(now, instance, report);
        }
    }

    /// The connection went silent or could not be made; the next one is new.
    pub(super) fn lost(&mut self, call: CallId) {
        let (entry, target) = (self.calls[call].entry, self.calls[call].target);
        if let Some(target) = target {
            self.servers[entry].silent.remove(&target);
        }
        if self.variant.control == Control::Now {
            self.report(call, AttemptReport::Failed);
            if let Some(loan) = self.calls[call].loan.take() {
                self.with_account(call, |account| account.discard(loan.id));
            }
        }
        self.again(call, Verdict::MayHaveRun, false);
    }

    /// Without control, a layer waits for a share of the deadline and tries
    /// again, while what it gave up goes on.
    pub(super) fn timeout(&mut self, call: CallId, attempt: u32) {
        let c = &self.calls[call];
        if c.closed || c.orphan || c.attempts != attempt {
            return;
        }
        let (root, parent, service, depth, entry) = (c.root, c.parent, c.service, c.depth, c.entry);
        self.calls[call].orphan = true;
        let again = self.new_call(root, parent, service, depth, entry);
        self.calls[again].attempts = attempt;
        self.calls[again].target = self.calls[call].target;
        self.again(again, Verdict::MayHaveRun, false);
    }

    /// An answer or refusal reaches the entry.
    pub(super) fn back(&mut self, call: CallId, whole: bool) {
        if self.calls[call].orphan || self.calls[call].closed {
            return;
        }
        if self.calls[call]
            .target
            .is_some_and(|t| self.is_cut(self.calls[call].entry, t))
        {
            return self.lost(call);
        }
        if self.variant.control == Control::Now {
            let news = self.calls[call].news;
            self.report(call, AttemptReport::Responded(news));
            let rest = match &mut self.calls[call].account {
                Some(account) => account.close(),
                None => self.calls[call]
                    .loan
                    .map_or(Retries::new(0), |loan| loan.retries),
            };
            if let Some(loan) = self.calls[call].loan.take() {
                self.with_account(call, |account| account.reclaim(loan.id, rest));
            }
        }
        if whole {
            let key = (self.calls[call].entry, self.calls[call].service);
            self.ratios.entry(key).or_default().record_answer();
            return self.done(call);
        }
        let overload = self.calls[call].failed.is_some();
        let verdict = if overload {
            Verdict::NotRun
        } else {
            Verdict::Ran
        };
        self.again(call, verdict, overload);
    }

    pub(super) fn again(&mut self, call: CallId, verdict: Verdict, overload: bool) {
        let root = self.calls[call].root;
        let left = self.roots[root].deadline - self.now;
        if left <= 0.0 || (self.variant.control == Control::Now && self.roots[root].ended) {
            return self.give_up(call);
        }
        let target = self.calls[call].target;
        if self.variant.control != Control::Now {
            if self.calls[call].attempts < LAYER_ATTEMPTS {
                self.roots[root].retries += 1;
                return self.attempt(call, target);
            }
            return self.give_up(call);
        }
        let failure = FailedAttempt {
            verdict,
            overload,
            time_left: Duration::from_secs_f64(left / 1000.0),
        };
        let key = (self.calls[call].entry, self.calls[call].service);
        let mut ratio = self.ratios.get(&key).copied().unwrap_or_default();
        if self.variant.off == Off::Ratio {
            ratio = RetryRatio::default();
        }
        let decided = self.with_account(call, |account| {
            decide_retry(failure, RepeatSafety::Safe, account, || ratio.try_take())
        });
        self.ratios.insert(key, ratio);
        if decided == Some(RetryDecision::Retry) {
            self.roots[root].retries += 1;
            self.attempt(call, target);
        } else {
            self.give_up(call);
        }
    }

    pub(super) fn give_up(&mut self, call: CallId) {
        self.calls[call].closed = true;
        let shed = self.calls[call].failed;
        self.meet(call, shed.is_some_and(Shed::is_overload));
        match self.calls[call].parent {
            Some(parent) => self.finish(parent, false),
            None => self.end_root(self.calls[call].root, false),
        }
    }

    /// Tells the call above what this onward call met.
    pub(super) fn meet(&mut self, call: CallId, refused: bool) {
        let Some(parent) = self.calls[call].parent else {
            return;
        };
        if self.variant.control != Control::Now || self.variant.off == Off::Chain {
            return;
        }
        let now = self.instant();
        let c = &self.calls[call];
        let demand = self.servers[c.entry].tables[&c.service].demand(now);
        let service = self.names[self.calls[call].service].clone();
        self.calls[parent].met.push(OnwardOutcome {
            service,
            demand,
            refused,
            failed: refused,
        });
    }

    pub(super) fn done(&mut self, call: CallId) {
        self.calls[call].closed = true;
        self.meet(call, false);
        match self.calls[call].parent {
            Some(parent) => self.onward(parent),
            None => self.end_root(self.calls[call].root, true),
        }
    }
}
