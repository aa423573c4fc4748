//! Admission with waiting calls behind it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::CallHead;
use crate::model::{ClassRank, GuardNews, Slots, WorkspaceId};
use crate::policy::admission::{
    Admission, CallToken, Decision, Event, GuardLoad, OnwardOutcome, Outcome, QueuedCall, Settings,
    Shed, Usage, Weights,
};

/// Slot time and sheds by workspace, the greatest first.
pub type Usages = Vec<(Option<WorkspaceId>, Usage)>;

pub(super) struct Inner {
    pub(super) admission: Admission,
    waiting: HashMap<CallToken, oneshot::Sender<Result<(), Shed>>>,
    next: u64,
    /// Whether a task lets calls start that wait for the server's rate.
    pub(super) pacing: bool,
}

/// Lets calls through to the backend server in the order of admission.
pub struct Gate {
    pub(super) inner: Mutex<Inner>,
}

impl Gate {
    /// Makes the gate of a backend server.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                admission: Admission::new(Instant::now(), settings),
                waiting: HashMap::new(),
                next: 0,
                pacing: false,
            }),
        })
    }

    /// Waits until the call may start.
    ///
    /// # Errors
    ///
    /// Returns why the call is shed; it has not been started then.
    pub async fn enter(self: &Arc<Self>, head: &CallHead) -> Result<Pass, Shed> {
        let result = self.admit(head).await;
        match result {
            // It is sent to another server.
            Err(Shed::Limited) if !head.waits => {}
            Err(_) => self.count_shed(head.workspace),
            Ok(_) => {}
        }
        result
    }

    async fn admit(self: &Arc<Self>, head: &CallHead) -> Result<Pass, Shed> {
        let now = Instant::now();
        let (decision, token, waiter) = {
            let mut inner = self.inner.lock();
            inner.next += 1;
            let token = CallToken(inner.next);
            let call = QueuedCall {
                token,
                priority: head.priority,
                workspace: head.workspace,
                deadline: head.deadline,
                expires: head.deadline,
                may_wait: head.waits,
            };
            let (sender, receiver) = oneshot::channel();
            inner.waiting.insert(token, sender);
            let (decision, events) = inner.admission.arrive(now, call);
            if !matches!(decision, Decision::Wait(_)) {
                inner.waiting.remove(&token);
            }
            inner.deliver(events);
            (decision, token, receiver)
        };
        match decision {
            Decision::Start => Ok(self.pass(token)),
            Decision::Shed(shed) => Err(shed),
            Decision::Wait(until) => {
                self.pace(now);
                self.wait(token, until, waiter).await
            }
        }
    }

    async fn wait(
        self: &Arc<Self>,
        token: CallToken,
        until: Instant,
        mut waiter: oneshot::Receiver<Result<(), Shed>>,
    ) -> Result<Pass, Shed> {
        // If the caller goes away the pass is dropped, which takes the call
        // out of the queue or frees the slot that it was given meanwhile.
        let pass = self.pass(token);
        loop {
            match tokio::time::timeout_at(until, &mut waiter).await {
                Ok(Ok(Ok(()))) => return Ok(pass),
                Ok(Ok(Err(shed))) => return Err(shed),
                Ok(Err(_)) => return Err(Shed::Cancelled),
                Err(_) => self.with(|admission| admission.expire(Instant::now())),
            }
        }
    }

    fn pass(self: &Arc<Self>, token: CallToken) -> Pass {
        Pass {
            gate: Arc::clone(self),
            token,
            outcome: Outcome::Failed,
        }
    }

    pub(super) fn with(&self, change: impl FnOnce(&mut Admission) -> Vec<Event>) {
        let mut inner = self.inner.lock();
        let events = change(&mut inner.admission);
        inner.deliver(events);
    }

    /// Refuses all new calls from now on and sheds those that wait.
    pub fn leave(&self) {
        self.with(Admission::leave);
    }

    /// Takes calls again, for a backend server that has started anew.
    pub fn restart(&self, slots: Slots) {
        self.inner.lock().admission.restart(slots);
    }

    /// Forgets what was learned of the backend server's last run.
    pub fn forget(&self, slots: Slots) {
        self.inner.lock().admission.forget(slots);
    }

    /// Takes calls again, for a backend server that has been running.
    pub fn rejoin(&self) {
        self.inner.lock().admission.rejoin();
    }

    /// Takes changed rules.
    pub fn reload(&self, slots: Slots, protected: Option<ClassRank>) {
        self.inner.lock().admission.reload(slots, protected);
    }

    /// Shares slot time among workspaces by these weights, or no longer.
    pub fn share(&self, weights: Option<Weights>) {
        self.inner
            .lock()
            .admission
            .set_weights(Instant::now(), weights);
    }

    fn count_shed(&self, workspace: Option<WorkspaceId>) {
        if let Some(fair) = self.inner.lock().admission.fair_queue() {
            fair.usage().count_shed(workspace);
        }
    }

    /// Returns what the workspaces had of the slots, where they share.
    pub fn usages(&self) -> Usages {
        let mut inner = self.inner.lock();
        let fair = inner.admission.fair_queue();
        fair.map_or_else(Vec::new, |fair| fair.usage().top())
    }

    /// Returns the same of the time since it was last asked.
    pub fn lately(&self) -> Usages {
        let mut inner = self.inner.lock();
        let fair = inner.admission.fair_queue();
        fair.map_or_else(Vec::new, |fair| fair.usage().take_recent())
    }

    /// Returns what answers carry of this guard.
    pub fn news(&self) -> GuardNews {
        self.inner.lock().admission.status(Instant::now())
    }

    /// Returns when a caller may come back that was refused for `shed`.
    pub fn retry_after(&self, shed: Shed) -> Duration {
        let admission = &self.inner.lock().admission;
        match shed {
            Shed::Limited => admission.rate_retry_after(Instant::now(), &mut rand::rng()),
            _ => admission.retry_after(&mut rand::rng()),
        }
    }

    /// Returns the load, and counts of calls since the last report.
    pub fn report(&self) -> GuardLoad {
        self.inner.lock().admission.report(Instant::now())
    }

    /// Returns calls in flight, calls that wait, and the limit.
    pub fn load(&self) -> (usize, usize, usize) {
        let inner = self.inner.lock();
        let admission = &inner.admission;
        (
            admission.in_flight(),
            admission.waiting(),
            admission.limit(),
        )
    }
}

impl Inner {
    pub(super) fn deliver(&mut self, events: Vec<Event>) {
        for event in events {
            let (token, result) = match event {
                Event::Start(token) => (token, Ok(())),
                Event::Shed(token, shed) => (token, Err(shed)),
            };
            if let Some(waiter) = self.waiting.remove(&token) {
                let _ = waiter.send(result);
            }
        }
    }
}

/// Leave to run one call; the slot is free again when it is dropped.
pub struct Pass {
    gate: Arc<Gate>,
    token: CallToken,
    outcome: Outcome,
}

impl Pass {
    /// Notes how the call ended, for the limit.
    pub fn ended(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Notes whether the backend server failed the call by itself.
    pub fn judge(&self, faulty: bool) {
        self.gate.inner.lock().admission.record_fault(faulty);
    }

    /// Notes what the call met further down its chain.
    pub fn met_below(&self, met: &[OnwardOutcome], answered: bool) {
        let mut inner = self.gate.inner.lock();
        inner
            .admission
            .record_onward(Instant::now(), self.token, met, answered);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut inner = self.gate.inner.lock();
        inner.waiting.remove(&self.token);
        inner.admission.cancel(self.token);
        let events = inner
            .admission
            .finish(Instant::now(), self.token, self.outcome);
        inner.deliver(events);
    }
}
