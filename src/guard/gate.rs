//! Admission of calls, with the tasks that wait for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::CallHead;
use crate::model::{ClassRank, GuardStatus, Slots, WorkspaceId};
use crate::policy::admission::{
    Admission, CallToken, Decision, Event, GuardLoad, OnwardOutcome, Outcome, QueuedCall, Settings,
    Shed, Usage, Weights,
};

/// Slot time and shed calls by workspace, in descending order.
pub type Usages = Vec<(Option<WorkspaceId>, Usage)>;

pub(super) struct GateState {
    pub(super) admission: Admission,
    waiters: HashMap<CallToken, oneshot::Sender<Result<(), Shed>>>,
    next_token: u64,
    /// Whether a task is starting queued calls at the server's rate.
    pub(super) pacing: bool,
}

/// Starts calls to the backend server in the order of admission.
pub struct Gate {
    pub(super) state: Mutex<GateState>,
}

impl Gate {
    /// Creates the gate of a backend server.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(GateState {
                admission: Admission::new(Instant::now(), settings),
                waiters: HashMap::new(),
                next_token: 0,
                pacing: false,
            }),
        })
    }

    /// Waits until the call may start.
    ///
    /// # Errors
    ///
    /// Returns why the call was shed; it has not been started.
    pub async fn acquire_slot(self: &Arc<Self>, head: &CallHead) -> Result<SlotPermit, Shed> {
        let result = self.admit(head).await;
        match result {
            // Not counted: the entry sends the call to another server.
            Err(Shed::Limited) if !head.may_wait => {}
            Err(_) => self.count_shed(head.workspace),
            Ok(_) => {}
        }
        result
    }

    async fn admit(self: &Arc<Self>, head: &CallHead) -> Result<SlotPermit, Shed> {
        let now = Instant::now();
        let (decision, token, waiter) = {
            let mut state = self.state.lock();
            state.next_token += 1;
            let token = CallToken(state.next_token);
            let call = QueuedCall {
                token,
                priority: head.priority,
                workspace: head.workspace,
                deadline: head.expires,
                expires: head.expires,
                may_wait: head.may_wait,
            };
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(token, sender);
            let (decision, events) = state.admission.arrive(now, call);
            if !matches!(decision, Decision::Wait(_)) {
                state.waiters.remove(&token);
            }
            state.deliver(events);
            (decision, token, receiver)
        };
        match decision {
            Decision::Start => Ok(self.permit(token)),
            Decision::Shed(shed) => Err(shed),
            Decision::Wait(until) => {
                self.pace(now);
                self.wait_for_slot(token, until, waiter).await
            }
        }
    }

    async fn wait_for_slot(
        self: &Arc<Self>,
        token: CallToken,
        until: Instant,
        mut waiter: oneshot::Receiver<Result<(), Shed>>,
    ) -> Result<SlotPermit, Shed> {
        // If this future is cancelled, dropping the permit removes the call from
        // the queue or frees the slot that it has been given.
        let permit = self.permit(token);
        loop {
            match tokio::time::timeout_at(until, &mut waiter).await {
                Ok(Ok(Ok(()))) => return Ok(permit),
                Ok(Ok(Err(shed))) => return Err(shed),
                Ok(Err(_)) => return Err(Shed::Cancelled),
                Err(_) => self.update(|admission| admission.expire(Instant::now())),
            }
        }
    }

    fn permit(self: &Arc<Self>, token: CallToken) -> SlotPermit {
        SlotPermit {
            gate: Arc::clone(self),
            token,
            outcome: Outcome::Failed,
        }
    }

    pub(super) fn update(&self, update: impl FnOnce(&mut Admission) -> Vec<Event>) {
        let mut state = self.state.lock();
        let events = update(&mut state.admission);
        state.deliver(events);
    }

    /// Refuses all new calls and sheds the queued ones.
    pub fn close(&self) {
        self.update(Admission::leave);
    }

    /// Admits calls again, for a backend server that has just started.
    pub fn reopen_cold(&self, slots: Slots) {
        self.state.lock().admission.restart(slots);
    }

    /// Discards what was learned about the previous run of the backend server.
    pub fn reset(&self, slots: Slots) {
        self.state.lock().admission.forget(slots);
    }

    /// Admits calls again, for a backend server that kept running.
    pub fn reopen(&self) {
        self.state.lock().admission.rejoin();
    }

    /// Applies changed slots and protected classes.
    pub fn reload(&self, slots: Slots, protected: Option<ClassRank>) {
        self.state.lock().admission.reload(slots, protected);
    }

    /// Shares slot time among workspaces by these weights; `None` ends sharing.
    pub fn set_weights(&self, weights: Option<Weights>) {
        self.state
            .lock()
            .admission
            .set_weights(Instant::now(), weights);
    }

    fn count_shed(&self, workspace: Option<WorkspaceId>) {
        if let Some(fair) = self.state.lock().admission.fair_queue() {
            fair.usage().count_shed(workspace);
        }
    }

    /// Returns the usage of each workspace, if slot time is shared.
    pub fn usages(&self) -> Usages {
        let mut state = self.state.lock();
        let fair = state.admission.fair_queue();
        fair.map_or_else(Vec::new, |fair| fair.usage().top())
    }

    /// Returns the usage of each workspace since the last call of this method.
    pub fn take_recent_usages(&self) -> Usages {
        let mut state = self.state.lock();
        let fair = state.admission.fair_queue();
        fair.map_or_else(Vec::new, |fair| fair.usage().take_recent())
    }

    /// Returns the status that is sent with answers.
    pub fn status(&self) -> GuardStatus {
        self.state.lock().admission.status(Instant::now())
    }

    /// Returns after which delay a caller refused for `shed` may retry.
    pub fn retry_after(&self, shed: Shed) -> Duration {
        let admission = &self.state.lock().admission;
        match shed {
            Shed::Limited => admission.rate_retry_after(Instant::now(), &mut rand::rng()),
            _ => admission.retry_after(&mut rand::rng()),
        }
    }

    /// Returns the load and the call counts since the last report.
    pub fn report(&self) -> GuardLoad {
        self.state.lock().admission.report(Instant::now())
    }

    /// Returns the numbers of calls in flight and queued calls, and the limit.
    pub fn load(&self) -> (usize, usize, usize) {
        let state = self.state.lock();
        let admission = &state.admission;
        (
            admission.in_flight(),
            admission.waiting(),
            admission.limit(),
        )
    }
}

impl GateState {
    pub(super) fn deliver(&mut self, events: Vec<Event>) {
        for event in events {
            let (token, result) = match event {
                Event::Start(token) => (token, Ok(())),
                Event::Shed(token, shed) => (token, Err(shed)),
            };
            if let Some(waiter) = self.waiters.remove(&token) {
                let _ = waiter.send(result);
            }
        }
    }
}

/// Permit to run one call; dropping it frees the slot.
pub struct SlotPermit {
    gate: Arc<Gate>,
    token: CallToken,
    outcome: Outcome,
}

impl SlotPermit {
    /// Sets how the call ended, as input to the concurrency limit.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records whether the backend server itself failed the call.
    pub fn record_fault(&self, faulty: bool) {
        self.gate.state.lock().admission.record_fault(faulty);
    }

    /// Records the outcomes of the call's onward calls.
    pub fn record_onward(&self, outcomes: &[OnwardOutcome], answered: bool) {
        let mut state = self.gate.state.lock();
        state
            .admission
            .record_onward(Instant::now(), self.token, outcomes, answered);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        state.waiters.remove(&self.token);
        state.admission.cancel(self.token);
        let events = state
            .admission
            .finish(Instant::now(), self.token, self.outcome);
        state.deliver(events);
    }
}
